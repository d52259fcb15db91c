package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.config.ProxyConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A process whose event loop ends while it serves. */
@Timeout(60)
class EventLoopTerminationTest {

  private static final long EXIT_TIMEOUT_SECONDS = 30;

  /** Starts a server as {@code serve} does, and ends its event loop. */
  public static final class TerminatedServer {

    private TerminatedServer() {}

    /** Runs the server with the configuration file that the argument names. */
    public static void main(String[] args) throws Exception {
      ProxyServer server = ProxyServer.prepare(ProxyConfig.read(args[0]));
      Main.exitIfEventLoopTerminates(server);
      server.serve();
      server.kill();
      // Ends only with the process, as the main thread of a balancer does.
      new CountDownLatch(1).await();
    }
  }

  /** Guards against a process that lives on without its event loop and never answers again. */
  @Test
  void processEndsWithFailureStatusIfItsEventLoopEnds() throws Exception {
    Path config = Files.createTempFile("proxy", ".json");
    try (ProxyFixture fixture = new ProxyFixture()) {
      Files.writeString(config, fixture.config());
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  TerminatedServer.class.getName(),
                  config.toString())
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .redirectError(ProcessBuilder.Redirect.DISCARD)
              .start();
      try {
        assertEquals(true, process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, process.exitValue());
      } finally {
        process.destroyForcibly();
      }
    } finally {
      Files.delete(config);
    }
  }
}
