package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The cost of a start, in numbers of classes, which the load of the machine does not change. */
@Timeout(120)
class StartupTest {

  /** Guards against the use of Jackson's object mapper, which loads several hundred classes. */
  private static final int MAX_JACKSON_CLASSES = 150;

  /** Limit on all classes loaded without a class archive, those of the JDK included. */
  private static final int MAX_CLASSES = 2_500;

  /** The names of the classes that a process has loaded when it accepts clients. */
  private static List<String> classesLoadedAtStart() throws Exception {
    Path log = Files.createTempFile("classes", ".log");
    try (ProxyFixture fixture = new ProxyFixture(2);
        ProxyProcess proxy =
            ProxyProcess.start(
                fixture,
                "-Xlog:class+load:file=" + log + ":none",
                "-Dio.netty.jfr.enabled=false")) {
      fixture
          .discovery
          .accept()
          .write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
      proxy.connect().close();
      proxy.process.destroyForcibly().waitFor();
      try (Stream<String> lines = Files.lines(log)) {
        return lines.map(line -> line.split(" ")[0]).toList();
      }
    } finally {
      Files.delete(log);
    }
  }

  @Test
  void startLoadsFewClasses() throws Exception {
    List<String> classes = classesLoadedAtStart();
    assertTrue(classes.contains(Main.class.getName()), "the log does not list loaded classes");
    assertEquals(
        List.of(), classes.stream().filter(name -> name.endsWith(".ObjectMapper")).toList());
    long jacksonClasses =
        classes.stream().filter(name -> name.startsWith("com.fasterxml.jackson.")).count();
    assertTrue(
        jacksonClasses <= MAX_JACKSON_CLASSES,
        jacksonClasses + " classes of Jackson loaded; limit " + MAX_JACKSON_CLASSES);
    assertTrue(
        classes.size() <= MAX_CLASSES, classes.size() + " classes loaded; limit " + MAX_CLASSES);
  }

  /**
   * Starts a shell that imitates a program that writes its archive: half of it is written when this
   * returns, and on SIGTERM the shell runs {@code onSigterm}.
   */
  private static Process startArchiveWriter(Path partialArchive, String onSigterm)
      throws IOException {
    Process process =
        new ProcessBuilder(
                "/bin/sh",
                "-c",
                "trap '"
                    + onSigterm
                    + "' TERM; "
                    + "printf half > \"$0\"; echo; while :; do read -r line; done",
                partialArchive.toString())
            .start();
    assertEquals('\n', process.getInputStream().read());
    return process;
  }

  @Test
  void incompleteClassArchiveIsDiscarded() throws Exception {
    Path folder = Files.createTempDirectory("archive");
    Path partialArchive = folder.resolve("classes.part");
    Path archive = folder.resolve("classes");
    Process stuck = startArchiveWriter(partialArchive, ":");
    try {
      ClassArchiveRecorder.endAndKeepArchive(stuck, partialArchive, archive, Duration.ofMillis(1));
      assertFalse(stuck.isAlive());
      assertFalse(Files.exists(archive));
      assertFalse(Files.exists(partialArchive));
    } finally {
      stuck.destroyForcibly();
    }
    Process ending = startArchiveWriter(partialArchive, "printf whole >> \"$0\"; exit 143");
    try {
      ClassArchiveRecorder.endAndKeepArchive(
          ending, partialArchive, archive, Duration.ofMillis(HttpPeer.TIMEOUT_MILLIS));
      assertEquals("halfwhole", Files.readString(archive));
      assertFalse(Files.exists(partialArchive));
    } finally {
      ending.destroyForcibly();
    }
    Files.delete(archive);
    Files.delete(folder);
  }
}
