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

/** Run by the build: writes the class archive of the packaged program from a run under load. */
final class ClassArchiveRecorder {

  private static final int REQUESTS = 300;

  private ClassArchiveRecorder() {}

  /** Arguments: the path of the archive, then the command that starts the program, java first. */
  public static void main(String[] arguments) throws Exception {
    Path archive = Path.of(arguments[0]);
    Path partialArchive = archive.resolveSibling(archive.getFileName() + ".part");
    List<String> command = new ArrayList<>(List.of(arguments).subList(1, arguments.length));
    command.add(1, "-XX:ArchiveClassesAtExit=" + partialArchive);
    Path configFile = Files.createTempFile("recording", ".json");
    Process process = null;
    try (ProxyFixture fixture = new ProxyFixture(2)) {
      for (ScriptedListener upstream : fixture.upstreams) {
        respondToAll(upstream, ProxyFixture.okResponse("served"));
      }
      respondToAll(
          fixture.discovery, ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
      int port;
      try (ServerSocket anyPort = new ServerSocket(0)) {
        port = anyPort.getLocalPort();
      }
      Files.writeString(configFile, fixture.config().replace("127.0.0.1:0", "127.0.0.1:" + port));
      ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
      builder.environment().put("PROXY_CONFIG", configFile.toString());
      process = builder.start();
      try (HttpPeer client =
          HttpPeer.connectWhenServing(new InetSocketAddress("127.0.0.1", port), process)) {
        for (int i = 0; i < REQUESTS; i++) {
          client.write(
              i % 2 == 0
                  ? ProxyFixture.idempotentRequest("r" + i, "2")
                  : ProxyFixture.atMostOnceRequest("r" + i, "body"));
          client.read();
        }
      }
      endAndKeepArchive(process, partialArchive, archive, Duration.ofMinutes(1));
    } finally {
      if (process != null) {
        process.destroyForcibly();
      }
      Files.delete(configFile);
    }
  }

  /**
   * Ends the process, which then writes its archive, and moves the archive into place. Discards it
   * if the process does not exit in time: with an incomplete archive the JVM would fail to start.
   */
  static void endAndKeepArchive(
      Process process, Path partialArchive, Path archive, Duration timeout)
      throws IOException, InterruptedException {
    process.destroy();
    if (process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
      Files.move(partialArchive, archive, StandardCopyOption.ATOMIC_MOVE);
    } else {
      process.destroyForcibly().waitFor();
      Files.deleteIfExists(partialArchive);
      System.err.println(
          "class archive not written: the program did not exit within "
              + timeout.toMillis()
              + " ms");
    }
  }

  /** Sends the same response to every request on every connection. */
  private static void respondToAll(ScriptedListener listener, String response) {
    Thread acceptor =
        new Thread(
            () -> {
              try {
                while (true) {
                  HttpPeer peer = listener.accept();
                  Thread worker = new Thread(() -> respondOnConnection(peer, response));
                  worker.setDaemon(true);
                  worker.start();
                }
              } catch (InterruptedException | AssertionError e) {
                // The listener has been closed, or nothing more connects to it.
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private static void respondOnConnection(HttpPeer peer, String response) {
    try (peer) {
      while (peer.read() != null) {
        TimeUnit.MILLISECONDS.sleep(1);
        peer.write(response);
      }
    } catch (IOException | InterruptedException e) {
      // The program has closed the connection.
    }
  }
}
