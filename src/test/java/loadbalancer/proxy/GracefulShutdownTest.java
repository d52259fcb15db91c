package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.config.ProxyConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The exit statuses of the command line, the reload on SIGHUP, and graceful shutdown. */
@Timeout(120)
class GracefulShutdownTest {

  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  private static void assertExitsWithOneLine(int expectedStatus, Path config, String... arguments)
      throws Exception {
    Process process = ProxyProcess.startProgram(config, arguments);
    try (BufferedReader standardError = process.errorReader()) {
      assertEquals(1, standardError.lines().filter(line -> !line.isBlank()).count());
    }
    assertTrue(process.waitFor(HttpPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    assertEquals(expectedStatus, process.exitValue());
  }

  @Test
  void invalidCommandLineOrConfigurationIsReportedInOneLine() throws Exception {
    assertExitsWithOneLine(2, null);
    assertExitsWithOneLine(2, null, "server");
    assertExitsWithOneLine(1, null, "serve");
    assertExitsWithOneLine(1, Path.of("no-such-file"), "serve");
    Path file = Files.createTempFile("proxy", ".json");
    try (ProxyFixture fixture = new ProxyFixture()) {
      for (String invalidConfig :
          new String[] {
            "",
            "{",
            "[]",
            "{\"listen\":\"nowhere\"}",
            fixture.config().replace("127.0.0.1:0", "127.0.0.1:notaport"),
            fixture.config().replace("\"aim\":1000.0", "\"aim\":\"soon\""),
            fixture.config().replace("8c1f30d27a5be964", "no number"),
            fixture.config().replace("\"up\"", "\"sideways\""),
            fixture.config().replace("127.0.0.1:0", fixture.discovery.address())
          }) {
        Files.writeString(file, invalidConfig);
        assertExitsWithOneLine(1, file, "serve");
      }
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void sigtermCompletesAcceptedRequests() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture();
        ProxyProcess proxy = ProxyProcess.start(fixture)) {
      HttpPeer acceptedClient = proxy.connect();
      HttpPeer idleClient = HttpPeer.connect(proxy.address);
      idleClient.write(HEALTH_CHECK);
      assertEquals(
          "keep-alive", idleClient.read().headers().getOrDefault("connection", "keep-alive"));
      acceptedClient.write(ProxyFixture.idempotentRequest("accepted", "10"));
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      upstream.read();
      proxy.process.destroy();
      // A second SIGTERM, and a reload during the shutdown, change nothing.
      proxy.process.destroy();
      proxy.sendSighup();
      idleClient.write(ProxyFixture.idempotentRequest("reused", "10"));
      HttpPeer secondUpstream = fixture.upstreams.get(0).accept();
      secondUpstream.read();
      // New clients, the request sent after the signal and the one sent before it are all served.
      HttpPeer.Message healthResponse = null;
      while (healthResponse == null || healthResponse.header("Connection") == null) {
        // Only in the closing phase of the shutdown do responses carry "Connection: close".
        HttpPeer client = HttpPeer.connect(proxy.address);
        client.write(HEALTH_CHECK);
        healthResponse = client.read();
        assertEquals(200, healthResponse.status());
      }
      secondUpstream.write(ProxyFixture.okResponse("reused"));
      HttpPeer.Message reused = idleClient.read();
      assertEquals("reused", reused.body());
      assertEquals("close", reused.header("Connection"));
      assertTrue(idleClient.isClosedByPeer());
      upstream.write(ProxyFixture.okResponse("accepted"));
      assertEquals("accepted", acceptedClient.read().body());
      assertTrue(proxy.process.waitFor(HttpPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  @Test
  void sighupReloadsTheConfigurationAndAnInvalidOneChangesNothing() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture();
        ScriptedListener secondDiscovery = new ScriptedListener();
        ProxyProcess proxy = ProxyProcess.start(fixture)) {
      HttpPeer client = proxy.connect();
      fixture.discovery.accept().read();
      proxy.reload("{");
      // The warning shows that the process has read the invalid file.
      assertTrue(
          proxy
              .process
              .errorReader()
              .lines()
              .anyMatch(
                  line ->
                      line.contains(
                          "configuration reload failed, keeping the current one: error=")));
      proxy.reload(proxy.config.replace(fixture.discovery.address(), secondDiscovery.address()));
      assertEquals("GET /catalog/members HTTP/1.1", secondDiscovery.accept().read().startLine());
      client.write(HEALTH_CHECK);
      assertEquals(200, client.read().status());
    }
  }

  @Test
  void sighupIsHandledAlsoIfTheParentProcessIgnoresIt() throws Exception {
    String runCommand =
        Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
            .filter(line -> line.startsWith("run = \""))
            .findFirst()
            .orElseThrow();
    // Guards against a process that inherits an ignored SIGHUP: a JVM then installs no handler.
    String commandPrefix =
        runCommand.substring(runCommand.indexOf('"') + 1, runCommand.indexOf("java "));
    try (ProxyFixture fixture = new ProxyFixture();
        ScriptedListener secondDiscovery = new ScriptedListener();
        ProxyProcess proxy = ProxyProcess.startInShell(fixture, "trap '' HUP; " + commandPrefix)) {
      proxy.connect();
      proxy.reload(proxy.config.replace(fixture.discovery.address(), secondDiscovery.address()));
      assertEquals("GET /catalog/members HTTP/1.1", secondDiscovery.accept().read().startLine());
    }
  }

  @Test
  void gracefulShutdownServesClientsUntilItsClosingPhase() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      Thread shutdown =
          new Thread(
              () -> {
                try {
                  fixture.server.shutDownGracefully();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      HttpPeer client = fixture.connectClient();
      client.write(HEALTH_CHECK);
      client.read();
      shutdown.start();
      // Once the thread sleeps, the shutdown has begun; responses still keep connections open.
      while (shutdown.getState() != Thread.State.TIMED_WAITING) {
        Thread.onSpinWait();
      }
      client.write(HEALTH_CHECK);
      assertEquals("keep-alive", client.read().headers().getOrDefault("connection", "keep-alive"));
      shutdown.join();
      assertTrue(client.isClosedByPeer());
    }
  }

  @Test
  void requestsUnfinishedAtTheEndOfAShutdownFail() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = fixture.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      upstream.read();
      fixture.server.shutDownGracefully();
      assertEquals(504, client.read().status());
      assertTrue(upstream.isClosedByPeer());
    }
  }

  @Test
  void everyRequestReceivedByTheEndOfAShutdownGetsAResponse() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = fixture.connectClient();
      client.write(
          ProxyFixture.atMostOnceRequest("1", "x")
              + ProxyFixture.idempotentRequest("2", "10")
              + ProxyFixture.idempotentRequest("3", "10"));
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      upstream.read();
      HttpPeer partialClient = fixture.connectClient();
      partialClient.write("GET /look-up/7");
      fixture.server.onLoop(
          (frontend, upstreams) -> {
            fixture.server.forceShutdown();
            return null;
          });
      assertEquals(504, client.read().status());
      // Pipelined requests were not forwarded: status 503 tells the client that a retry is safe.
      assertEquals(503, client.read().status());
      HttpPeer.Message last = client.read();
      assertEquals(503, last.status());
      assertEquals("close", last.header("Connection"));
      assertTrue(client.isClosedByPeer());
      assertEquals(408, partialClient.read().status());
      assertTrue(partialClient.isClosedByPeer());
      // A connection opened after the forced shutdown.
      HttpPeer lateClient = fixture.connectClient();
      lateClient.write(ProxyFixture.idempotentRequest("4", "10"));
      assertEquals(503, lateClient.read().status());
      assertEquals(0, fixture.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void requestsUnreadInTheKernelAtTheEndOfAShutdownGetAResponse() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer existingClient = fixture.connectClient();
      existingClient.write(HEALTH_CHECK);
      existingClient.read();
      HttpPeer[] unreadClients = {existingClient, null};
      fixture.server.onLoop(
          (frontend, upstreams) -> {
            try {
              // The event loop, on which this runs, reads neither before the forced shutdown.
              existingClient.write(ProxyFixture.idempotentRequest("1", "10"));
              unreadClients[1] = fixture.connectClient();
              unreadClients[1].write(ProxyFixture.idempotentRequest("2", "10"));
            } catch (IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
            fixture.server.forceShutdown();
            return null;
          });
      for (HttpPeer client : unreadClients) {
        HttpPeer.Message response = client.read();
        assertEquals(503, response.status());
        assertEquals("close", response.header("Connection"));
        assertTrue(client.isClosedByPeer());
      }
    }
  }

  @Test
  void serverThatAcceptsNoClientsYetCanShutDown() throws Exception {
    Path file = Files.createTempFile("proxy", ".json");
    try (ProxyFixture fixture = new ProxyFixture()) {
      Files.writeString(file, fixture.config());
      ProxyServer server = ProxyServer.prepare(ProxyConfig.read(file.toString()));
      server.shutDownGracefully();
      server.kill();
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void connectionWithARequestInFlightIsNotClosed() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = fixture.connectClient();
      client.write(HEALTH_CHECK);
      client.read();
      client.write(ProxyFixture.idempotentRequest("1", "10"));
      // Here the request is either unread in the kernel or in flight.
      assertFalse(fixture.server.closeIdleClientConnections());
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("kept"));
      assertEquals("kept", client.read().body());
    }
  }
}
