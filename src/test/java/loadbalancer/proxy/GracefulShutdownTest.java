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

/** The program as a process: its command line, and how it ends. */
@Timeout(120)
class GracefulShutdownTest {

  private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  private static void endsWithOneLine(int status, Path config, String... arguments)
      throws Exception {
    Process process = ProxyProcess.startWith(config, arguments);
    try (BufferedReader error = process.errorReader()) {
      assertEquals(1, error.lines().filter(line -> !line.isBlank()).count());
    }
    assertTrue(process.waitFor(HttpPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    assertEquals(status, process.exitValue());
  }

  @Test
  void aBadCommandLineOrConfigurationIsToldInOneLine() throws Exception {
    endsWithOneLine(2, null);
    endsWithOneLine(2, null, "server");
    endsWithOneLine(1, null, "serve");
    endsWithOneLine(1, Path.of("no-such-file"), "serve");
    Path file = Files.createTempFile("node", ".json");
    try (ProxyFixture stage = new ProxyFixture()) {
      for (String bad :
          new String[] {
            "",
            "{",
            "[]",
            "{\"listen\":\"nowhere\"}",
            stage.config().replace("127.0.0.1:0", "127.0.0.1:notaport"),
            stage.config().replace("\"aim\":1000.0", "\"aim\":\"soon\""),
            stage.config().replace("8c1f30d27a5be964", "no number"),
            stage.config().replace("\"up\"", "\"sideways\""),
            stage.config().replace("127.0.0.1:0", stage.discovery.address())
          }) {
        Files.writeString(file, bad);
        endsWithOneLine(1, file, "serve");
      }
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void sigtermLetsAllThatIsTakenBeAnswered() throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        ProxyProcess node = ProxyProcess.start(stage)) {
      HttpPeer taken = node.connect();
      HttpPeer idle = HttpPeer.connect(node.address);
      idle.write(HEALTH);
      assertEquals("keep-alive", idle.read().headers().getOrDefault("connection", "keep-alive"));
      taken.write(ProxyFixture.idempotentRequest("taken", "10"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      node.process.destroy();
      // A second one, and a new configuration just then, change nothing.
      node.process.destroy();
      node.hangUp();
      idle.write(ProxyFixture.idempotentRequest("reused", "10"));
      HttpPeer second = stage.upstreams.get(0).accept();
      second.read();
      // A late caller, one on a connection that it had, and the one that was taken before.
      HttpPeer.Message late = null;
      while (late == null || late.header("Connection") == null) {
        // Callers are asked to leave only when the time for the last answers begins.
        HttpPeer caller = HttpPeer.connect(node.address);
        caller.write(HEALTH);
        late = caller.read();
        assertEquals(200, late.status());
      }
      second.write(ProxyFixture.okResponse("reused"));
      HttpPeer.Message reused = idle.read();
      assertEquals("reused", reused.body());
      assertEquals("close", reused.header("Connection"));
      assertTrue(idle.isClosedByPeer());
      upstream.write(ProxyFixture.okResponse("taken"));
      assertEquals("taken", taken.read().body());
      assertTrue(node.process.waitFor(HttpPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  @Test
  void sighupReadsTheFileAgainAndABadOneChangesNothing() throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        ScriptedListener second = new ScriptedListener();
        ProxyProcess node = ProxyProcess.start(stage)) {
      HttpPeer caller = node.connect();
      stage.discovery.accept().read();
      node.reload("{");
      // Its complaint tells that it has been read.
      assertTrue(
          node.process.errorReader().lines().anyMatch(line -> line.contains("stays as it was")));
      node.reload(node.config.replace(stage.discovery.address(), second.address()));
      assertEquals("GET /catalog/members HTTP/1.1", second.accept().read().startLine());
      caller.write(HEALTH);
      assertEquals(200, caller.read().status());
    }
  }

  @Test
  void sighupIsHeardAlsoWhereWhoeverStartsTheProgramIgnoresIt() throws Exception {
    String run =
        Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
            .filter(line -> line.startsWith("run = \""))
            .findFirst()
            .orElseThrow();
    // What comes ahead of the virtual machine, which leaves a signal ignored that was so at its
    // start.
    String ahead = run.substring(run.indexOf('"') + 1, run.indexOf("java "));
    try (ProxyFixture stage = new ProxyFixture();
        ScriptedListener second = new ScriptedListener();
        ProxyProcess node = ProxyProcess.startInShell(stage, "trap '' HUP; " + ahead)) {
      node.connect();
      node.reload(node.config.replace(stage.discovery.address(), second.address()));
      assertEquals("GET /catalog/members HTTP/1.1", second.accept().read().startLine());
    }
  }

  @Test
  void aDrainServesCallersAsBeforeWhileThereIsTime() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      Thread drain =
          new Thread(
              () -> {
                try {
                  stage.server.drain();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      HttpPeer caller = stage.connectClient();
      caller.write(HEALTH);
      caller.read();
      drain.start();
      // It has begun once the thread sleeps; so far callers are not asked to leave.
      while (drain.getState() != Thread.State.TIMED_WAITING) {
        Thread.onSpinWait();
      }
      caller.write(HEALTH);
      assertEquals("keep-alive", caller.read().headers().getOrDefault("connection", "keep-alive"));
      drain.join();
      assertTrue(caller.isClosedByPeer());
    }
  }

  @Test
  void whatADrainCannotFinishFailsBeforeItIsKilled() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      stage.server.drain();
      assertEquals(504, caller.read().status());
      assertTrue(upstream.isClosedByPeer());
    }
  }

  @Test
  void allThatHasComeByTheEndOfADrainIsAnswered() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(
          ProxyFixture.atMostOnceRequest("1", "x")
              + ProxyFixture.idempotentRequest("2", "10")
              + ProxyFixture.idempotentRequest("3", "10"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      HttpPeer half = stage.connectClient();
      half.write("GET /look-up/7");
      stage.server.onLoop(
          (frontend, upstreams) -> {
            // Nobody could come to an end otherwise while the test puts the end here.
            stage.server.end();
            return null;
          });
      assertEquals(504, caller.read().status());
      // They never ran, and may be sent again.
      assertEquals(503, caller.read().status());
      HttpPeer.Message last = caller.read();
      assertEquals(503, last.status());
      assertEquals("close", last.header("Connection"));
      assertTrue(caller.isClosedByPeer());
      assertEquals(408, half.read().status());
      assertTrue(half.isClosedByPeer());
      // A connection that crosses the end is told so too.
      HttpPeer late = stage.connectClient();
      late.write(ProxyFixture.idempotentRequest("4", "10"));
      assertEquals(503, late.read().status());
      assertEquals(0, stage.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void aRequestThatLiesUnreadInTheKernelAtTheEndOfADrainIsAnswered() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer kept = stage.connectClient();
      kept.write(HEALTH);
      kept.read();
      HttpPeer[] unread = {kept, null};
      stage.server.onLoop(
          (frontend, upstreams) -> {
            try {
              // The node reads neither before its end begins.
              kept.write(ProxyFixture.idempotentRequest("1", "10"));
              unread[1] = stage.connectClient();
              unread[1].write(ProxyFixture.idempotentRequest("2", "10"));
            } catch (IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
            stage.server.end();
            return null;
          });
      for (HttpPeer caller : unread) {
        HttpPeer.Message answer = caller.read();
        assertEquals(503, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertTrue(caller.isClosedByPeer());
      }
    }
  }

  @Test
  void aNodeThatLetNobodyInYetCanBeDrained() throws Exception {
    Path file = Files.createTempFile("node", ".json");
    try (ProxyFixture stage = new ProxyFixture()) {
      Files.writeString(file, stage.config());
      ProxyServer node = ProxyServer.prepare(ProxyConfig.read(file.toString()));
      node.drain();
      node.kill();
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void aDrainDoesNotCloseAConnectionWithARequestInIt() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(HEALTH);
      caller.read();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      // The request lies in the kernel or is at work; either way it must not be lost.
      assertFalse(stage.server.endDrain());
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("kept"));
      assertEquals("kept", caller.read().body());
    }
  }
}
