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

/** Run by the build: makes the class archive from a run of the packaged program under load. */
final class ClassArchiveRecorder {

  private static final int REQUESTS = 300;

  private ClassArchiveRecorder() {}

  /** Arguments: the archive to make, then the command that starts the program, java first. */
  public static void main(String[] arguments) throws Exception {
    Path archive = Path.of(arguments[0]);
    Path part = archive.resolveSibling(archive.getFileName() + ".part");
    List<String> command = new ArrayList<>(List.of(arguments).subList(1, arguments.length));
    command.add(1, "-XX:ArchiveClassesAtExit=" + part);
    Path file = Files.createTempFile("recording", ".json");
    Process process = null;
    try (ProxyFixture fixture = new ProxyFixture(2)) {
      for (ScriptedListener upstream : fixture.upstreams) {
        serve(upstream, ProxyFixture.okResponse("served"));
      }
      serve(fixture.discovery, ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
      int port;
      try (ServerSocket free = new ServerSocket(0)) {
        port = free.getLocalPort();
      }
      Files.writeString(file, fixture.config().replace("127.0.0.1:0", "127.0.0.1:" + port));
      ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
      builder.environment().put("PROXY_CONFIG", file.toString());
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
      keep(process, part, archive, Duration.ofMinutes(1));
    } finally {
      if (process != null) {
        process.destroyForcibly();
      }
      Files.delete(file);
    }
  }

  /** Guards against an incomplete archive, with which the JVM would fail to start. */
  static void keep(Process process, Path part, Path archive, Duration timeout)
      throws IOException, InterruptedException {
    process.destroy();
    if (process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
      Files.move(part, archive, StandardCopyOption.ATOMIC_MOVE);
    } else {
      process.destroyForcibly().waitFor();
      Files.deleteIfExists(part);
      System.err.println("class archive not written: the program did not end in time");
    }
  }

  /** Sends the same response to every request. */
  private static void serve(ScriptedListener listener, String response) {
    Thread acceptor =
        new Thread(
            () -> {
              try {
                while (true) {
                  HttpPeer peer = listener.accept();
                  Thread worker = new Thread(() -> respond(peer, response));
                  worker.setDaemon(true);
                  worker.start();
                }
              } catch (InterruptedException | AssertionError e) {
                // The recording is over.
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private static void respond(HttpPeer peer, String response) {
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
