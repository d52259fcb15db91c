package loadbalancer.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Run by the build: starts the packed program by the given command, lets it serve for a moment and
 * ends it as the platform does, so that the virtual machine archives the classes that it has loaded
 * by then.
 */
final class ClassArchiveRecorder {

  private static final int REQUESTS = 300;

  private ClassArchiveRecorder() {}

  /** The arguments are the archive to make and the command that starts the program, java first. */
  public static void main(String[] arguments) throws Exception {
    Path archive = Path.of(arguments[0]);
    Path part = archive.resolveSibling(archive.getFileName() + ".part");
    List<String> command = new ArrayList<>(List.of(arguments).subList(1, arguments.length));
    command.add(1, "-XX:ArchiveClassesAtExit=" + part);
    Path file = Files.createTempFile("rehearsal", ".json");
    Process process = null;
    try (ProxyFixture stage = new ProxyFixture(2)) {
      for (ScriptedListener upstream : stage.upstreams) {
        serve(upstream, ProxyFixture.okResponse("served"));
      }
      serve(stage.discovery, ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
      int port;
      try (ServerSocket free = new ServerSocket(0)) {
        port = free.getLocalPort();
      }
      Files.writeString(file, stage.config().replace("127.0.0.1:0", "127.0.0.1:" + port));
      ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
      builder.environment().put("PROXY_CONFIG", file.toString());
      process = builder.start();
      try (HttpPeer caller =
          HttpPeer.connectWhenServing(new InetSocketAddress("127.0.0.1", port), process)) {
        for (int i = 0; i < REQUESTS; i++) {
          caller.write(
              i % 2 == 0
                  ? ProxyFixture.idempotentRequest("r" + i, "2")
                  : ProxyFixture.atMostOnceRequest("r" + i, "body"));
          caller.read();
        }
      }
      keep(process, part, archive, Duration.ofMinutes(1));
    } finally {
      if (process != null) {
        process.destroyForcibly();
      }
      Files.delete(file);
    }
  }

  /**
   * Has the process end, and what it has written by then take its place. With half an archive the
   * virtual machine would die at its start, where without any it only starts slower: unless the
   * process has ended by itself there is none.
   */
  static void keep(Process process, Path part, Path archive, Duration patience)
      throws IOException, InterruptedException {
    process.destroy();
    if (process.waitFor(patience.toMillis(), TimeUnit.MILLISECONDS)) {
      Files.move(part, archive, StandardCopyOption.ATOMIC_MOVE);
    } else {
      process.destroyForcibly().waitFor();
      Files.deleteIfExists(part);
      System.err.println("no archive of classes: the program did not end in its time");
    }
  }

  /** Answers whatever comes with the same text. */
  private static void serve(ScriptedListener listener, String answer) {
    Thread acceptor =
        new Thread(
            () -> {
              try {
                while (true) {
                  HttpPeer peer = listener.accept();
                  Thread worker = new Thread(() -> answer(peer, answer));
                  worker.setDaemon(true);
                  worker.start();
                }
              } catch (InterruptedException | AssertionError e) {
                // Nobody calls any more.
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private static void answer(HttpPeer peer, String answer) {
    try (peer) {
      while (peer.read() != null) {
        TimeUnit.MILLISECONDS.sleep(1);
        peer.write(answer);
      }
    } catch (IOException | InterruptedException e) {
      // The program has closed the connection.
    }
  }
}
