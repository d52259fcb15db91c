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

/** What a start costs, in counts that are the same on a slow machine and on one that is busy. */
@Timeout(120)
class StartupTest {

  /**
   * Classes from Jackson that a start may load: with its mapper there would be some four hundred.
   */
  private static final int MOST_OF_JACKSON = 150;

  /** All classes that it may load where none are archived, the virtual machine's own with them. */
  private static final int MOST_CLASSES = 2_500;

  /** The names of the classes that a process has loaded by the time at which it serves. */
  private static List<String> classesOfAStart() throws Exception {
    Path log = Files.createTempFile("classes", ".log");
    try (ProxyFixture stage = new ProxyFixture(2);
        ProxyProcess node =
            ProxyProcess.start(
                stage, "-Xlog:class+load:file=" + log + ":none", "-Dio.netty.jfr.enabled=false")) {
      stage.discovery.accept().write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
      node.connect().close();
      node.process.destroyForcibly().waitFor();
      try (Stream<String> lines = Files.lines(log)) {
        return lines.map(line -> line.split(" ")[0]).toList();
      }
    } finally {
      Files.delete(log);
    }
  }

  @Test
  void aStartLoadsNoMoreClassesThanItNeeds() throws Exception {
    List<String> classes = classesOfAStart();
    assertTrue(classes.contains(Main.class.getName()), "the log is of no use");
    assertEquals(
        List.of(), classes.stream().filter(name -> name.endsWith(".ObjectMapper")).toList());
    long jackson =
        classes.stream().filter(name -> name.startsWith("com.fasterxml.jackson.")).count();
    assertTrue(jackson <= MOST_OF_JACKSON, jackson + " classes of Jackson");
    assertTrue(classes.size() <= MOST_CLASSES, classes.size() + " classes");
  }

  /**
   * A program that writes a part of its archive before it serves and the rest when it ends, if it
   * ends.
   */
  private static Process writer(Path part, String atTerm) throws IOException {
    Process process =
        new ProcessBuilder(
                "/bin/sh",
                "-c",
                "trap '"
                    + atTerm
                    + "' TERM; "
                    + "printf half > \"$0\"; echo; while :; do read -r line; done",
                part.toString())
            .start();
    assertEquals('\n', process.getInputStream().read());
    return process;
  }

  @Test
  void anArchiveThatIsNotWholeTakesNoPlace() throws Exception {
    Path folder = Files.createTempDirectory("archive");
    Path part = folder.resolve("classes.part");
    Path archive = folder.resolve("classes");
    Process stuck = writer(part, ":");
    try {
      ClassArchiveRecorder.keep(stuck, part, archive, Duration.ofMillis(1));
      assertFalse(stuck.isAlive());
      assertFalse(Files.exists(archive));
      assertFalse(Files.exists(part));
    } finally {
      stuck.destroyForcibly();
    }
    Process ending = writer(part, "printf whole >> \"$0\"; exit 143");
    try {
      ClassArchiveRecorder.keep(ending, part, archive, Duration.ofMillis(HttpPeer.TIMEOUT_MILLIS));
      assertEquals("halfwhole", Files.readString(archive));
      assertFalse(Files.exists(part));
    } finally {
      ending.destroyForcibly();
    }
    Files.delete(archive);
    Files.delete(folder);
  }
}
