package loadbalancer.proxy.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.ClientRequest;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedPolicy;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What callers see: every request has one answer, whatever they or the module get wrong. */
@Timeout(60)
class FrontendTest {

  private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  @Test
  void itIsHealthyOnceItListens() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(HEALTH);
      assertEquals(200, caller.read().status());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /nothing/7 HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: nothing\r\nX-Remaining: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nX-Txn: 1\r\nX-Remaining: 1\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: soon\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: -1\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: NaN\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\nX-Estimate: x\r\n\r\n",
        "POST /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
        "GET /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n\r\n",
        "POST /tile-order HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: tile-order\r\nX-Remaining: 1\r\n\r\n",
        "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nContent-Length: many\r\n\r\n",
        "no request at all\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Remaining: 1\r\n\r\n",
        "GET /tile-order HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
        "GET http://a/look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Txn: 2\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 0x1p3\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1d\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1 2\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n"
            + "Content-Length: 1\r\n\r\nb",
        "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
            + "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
        "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
            + "Content-Length: -1\r\n\r\n",
        "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
            + "Content-Length: 0\r\nContent-Length: 1\r\n\r\nb",
        "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
            + "Transfer-Encoding: gzip\r\n\r\n",
        "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
            + "Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + "POST /credit-spend HTTP/1.1\r\nX-Txn: 2\r\n"
      })
  void aMalformedRequestIsTheCallersFault(String request) throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(request);
      HttpPeer.Message answer = caller.read();
      assertEquals(400, answer.status());
      assertEquals("close", answer.header("Connection"));
      assertTrue(caller.isClosedByPeer());
      // The first that the upstream sees is the next caller's request.
      stage.assertStillServes();
    }
  }

  @Test
  void whatFollowsARequestIsToldAfterItsAnswer() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(
          ProxyFixture.idempotentRequest("1", "10")
              + "POST /credit-spend HTTP/1.1\r\nExpect: 100-continue\r\n"
              + "Content-Length: 60000000\r\n\r\n");
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("first"));
      assertEquals("first", caller.read().body());
      assertEquals(413, caller.read().status());
      assertTrue(caller.isClosedByPeer());
    }
  }

  @Test
  void aBodyIsAskedForWhereItsCallerWaitsForThat() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      String request =
          ProxyFixture.atMostOnceRequest("1", "body")
              .replace("Host:", "Expect: 100-continue\r\nHost:");
      caller.write(request.substring(0, request.length() - 4));
      assertEquals(100, caller.read().status());
      caller.write("body");
      HttpPeer upstream = stage.upstreams.get(0).accept();
      HttpPeer.Message passed = upstream.read();
      assertEquals("body", passed.body());
      assertNull(passed.header("Expect"));
      upstream.write(ProxyFixture.okResponse("served"));
      assertEquals("served", caller.read().body());
    }
  }

  @Test
  void aCrowdOfRequestsSentAheadHasOneErrorAndTheFirstIsGivenUp() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("first", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      StringBuilder crowd = new StringBuilder();
      for (int i = 0; i < 300; i++) {
        crowd.append(ProxyFixture.idempotentRequest("r" + i, "10"));
      }
      caller.write(crowd.toString());
      assertEquals(400, caller.read().status());
      assertTrue(caller.isClosedByPeer());
      assertEquals(1, ScriptedPolicy.takeNext(stage.policy.disconnected));
      stage.policy.onResult = outcome -> {};
      assertEquals(0, stage.upstreams.get(0).pendingConnections());
    }
  }

  /** Lets so much time pass for callers, as far as their time-outs go. */
  private static void later(ProxyFixture stage, double millis) throws Exception {
    stage.server.onLoop(
        (frontend, upstreams) -> {
          frontend.checkTimeouts(stage.server.now() + millis);
          return null;
        });
  }

  /** Returns once the node has taken in what callers sent before. */
  private static void takenIn(ProxyFixture stage) throws Exception {
    HttpPeer other = stage.connectClient();
    other.write(HEALTH);
    other.read();
    other.close();
  }

  @Test
  void aSilentCallerIsClosedAndOneWithHalfARequestToldWhy() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer silent = stage.connectClient();
      HttpPeer[] slow = {stage.connectClient(), stage.connectClient(), stage.connectClient()};
      slow[0].write("GET /look-up HT");
      slow[1].write("GET /look-up HTTP/1.1\r\n");
      slow[2].write("POST /credit-spend HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
      takenIn(stage);
      later(stage, 3_000);
      assertTrue(silent.isClosedByPeer());
      for (HttpPeer caller : slow) {
        assertEquals(408, caller.read().status());
        assertTrue(caller.isClosedByPeer());
      }
      stage.assertStillServes();
    }
  }

  @Test
  void anIdleCallerIsClosedAndOneWhoseRequestIsAtWorkIsNot() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer idle = stage.connectClient();
      idle.write(HEALTH);
      idle.read();
      HttpPeer busy = stage.connectClient();
      busy.write(HEALTH);
      busy.read();
      // It lies in the kernel or is at work; either way it must not be lost.
      busy.write(ProxyFixture.idempotentRequest("1", "10"));
      later(stage, 9_000);
      assertTrue(idle.isClosedByPeer());
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("kept"));
      assertEquals("kept", busy.read().body());
    }
  }

  @Test
  void aCrowdDoesNotWaitWhileOthersOnlyRest() throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      stage.maxDescriptors = 64 + 20;
      stage.start();
      for (int i = 0; i < 200; i++) {
        // Each keeps its connection for good, as far as it is asked.
        HttpPeer caller = stage.connectClient();
        caller.write(HEALTH);
        assertEquals(200, caller.read().status());
      }
    }
  }

  @Test
  void aCrowdIsNotLetInBeyondTheDescriptorsWhenSomeOfItLeave() throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      stage.maxDescriptors = 64 + 5;
      stage.start();
      java.util.concurrent.atomic.AtomicInteger taken =
          new java.util.concurrent.atomic.AtomicInteger();
      stage.policy.onRequest = request -> taken.incrementAndGet();
      HttpPeer[] crowd = new HttpPeer[80];
      for (int i = 0; i < crowd.length; i++) {
        crowd[i] = stage.connectClient();
        crowd[i].write(ProxyFixture.idempotentRequest("r" + i, "20"));
      }
      for (int i = 0; i < 10; i++) {
        later(stage, 0);
      }
      int before = taken.get();
      assertTrue(before >= 5 && before <= 5 + 16, before + " let in");
      // As long as too many are there, nobody takes the place of one that leaves.
      for (int i = 0; i < before - 5; i++) {
        crowd[i].close();
        ScriptedPolicy.takeNext(stage.policy.disconnected);
        later(stage, 0);
        later(stage, 0);
      }
      assertEquals(before, taken.get());
      crowd[before - 1].close();
      ScriptedPolicy.takeNext(stage.policy.disconnected);
      while (taken.get() == before) {
        Thread.onSpinWait();
      }
    }
  }

  @Test
  void anIdThatIsAtWorkIsTheNewcomersFault() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer first = stage.connectClient();
      first.write(ProxyFixture.atMostOnceRequest("same", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      HttpPeer second = stage.connectClient();
      second.write(ProxyFixture.atMostOnceRequest("same", "x"));
      assertEquals(409, second.read().status());
      assertTrue(second.isClosedByPeer());
      upstream.write(ProxyFixture.okResponse("first"));
      assertEquals("first", first.read().body());
      // It is free again.
      first.write(ProxyFixture.idempotentRequest("same", "10"));
      assertEquals("same", upstream.read().header("X-Txn"));
    }
  }

  @Test
  void aClientThatLeftMaySendItsRequestAgain() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer first = stage.connectClient();
      first.write(ProxyFixture.idempotentRequest("same", "10"));
      stage.upstreams.get(0).accept().read();
      first.close();
      HttpPeer second = stage.connectClient();
      second.write(ProxyFixture.idempotentRequest("same", "10"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("second"));
      assertEquals("second", second.read().body());
    }
  }

  @Test
  void aClientThatSendsAgainAndLeavesAtOnceIsNotTakenForAtWork() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer first = stage.connectClient();
      first.write(ProxyFixture.idempotentRequest("same", "10"));
      stage.upstreams.get(0).accept().read();
      HttpPeer second = stage.connectClient();
      second.write(HEALTH);
      second.read();
      onLoop(
          stage,
          () -> {
            // Both lie there when the node looks, and what came first is read first.
            second.write(ProxyFixture.idempotentRequest("same", "10"));
            first.close();
          });
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("second"));
      assertEquals("second", second.read().body());
    }
  }

  @ParameterizedTest
  @CsvSource({"'', true", "ahead, false", "part, false", "flaw, false", "flaw, true"})
  void aRequestWhoseClientLeftBehindMoreBeforeItWasLetInIsNotSentOn(String kind, boolean reset)
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      onLoop(
          stage,
          () -> {
            HttpPeer left = HttpPeer.connect(stage.server.address());
            left.write(ProxyFixture.idempotentRequest("left", "10") + behind(kind));
            if (reset) {
              left.reset();
            } else {
              left.close();
            }
          });
      takenIn(stage);
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("stays", "10"));
      assertEquals("stays", stage.upstreams.get(0).accept().read().header("X-Txn"));
    }
  }

  @Test
  void aRequestWhoseClientLeftBeforeItWasLetInIsNotSentOn() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      onLoop(
          stage,
          () -> {
            try (HttpPeer left = HttpPeer.connect(stage.server.address())) {
              left.write(ProxyFixture.idempotentRequest("left", "10"));
            }
          });
      takenIn(stage);
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("stays", "10"));
      assertEquals("stays", stage.upstreams.get(0).accept().read().header("X-Txn"));
    }
  }

  @Test
  void aRequestWhoseClientLeftBehindItOnAKeptConnectionIsNotSentOn() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer left = stage.connectClient();
      left.write(HEALTH);
      left.read();
      onLoop(
          stage,
          () -> {
            left.write(ProxyFixture.idempotentRequest("left", "10"));
            left.close();
          });
      takenIn(stage);
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("stays", "10"));
      assertEquals("stays", stage.upstreams.get(0).accept().read().header("X-Txn"));
    }
  }

  private interface Job {
    void run() throws java.io.IOException;
  }

  /** Does something while the node can't: all of it lies in the kernel when it looks again. */
  private static void onLoop(ProxyFixture stage, Job job) throws Exception {
    stage.server.onLoop(
        (frontend, upstreams) -> {
          try {
            job.run();
            return null;
          } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
        });
  }

  @ParameterizedTest
  @CsvSource({"1000, false", "1000, true", "5, false", "5, true", "0, false", "0, true"})
  void aClientIsSeenToLeaveWhateverItSentBehindItsRequest(int kind, boolean reset)
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      // The module keeps it in its queue, where it must not stay for its time.
      AtomicReference<Double> deadline = new AtomicReference<>();
      stage.policy.onRequest = request -> deadline.set(request.deadlineMillis());
      HttpPeer caller = stage.connectClient();
      caller.write(
          ProxyFixture.atMostOnceRequest("waits", "x")
              .replace("X-Remaining: 10", "X-Remaining: 15"));
      if (kind == 0) {
        caller.write("no request at all\r\n\r\n" + "x".repeat(6 * 1024 * 1024));
      } else {
        for (int i = 0; i < 5; i++) {
          caller.write(ProxyFixture.atMostOnceRequest("ahead" + i, "b".repeat(60 * kind)));
        }
      }
      takenIn(stage);
      if (reset) {
        caller.reset();
      } else {
        caller.close();
      }
      assertEquals(1, ScriptedPolicy.takeNext(stage.policy.disconnected));
      assertTrue(stage.server.now() < deadline.get());
    }
  }

  /**
   * What a client sends behind its request before it leaves, which reading from it has to get past.
   */
  private static String behind(String kind) {
    return switch (kind) {
      case "ahead" -> ProxyFixture.atMostOnceRequest("ahead", "b".repeat(30_000));
      case "part" ->
          "POST /credit-spend HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + "b".repeat(30_000);
      case "flaw" -> "no request at all\r\n\r\n" + "x".repeat(30_000);
      default -> "";
    };
  }

  @ParameterizedTest
  @CsvSource({"'', false", "'', true", "ahead, false", "part, false", "flaw, false"})
  void anAttemptDoesNotBeginWhileItsClientsLeavingLiesUnread(String kind, boolean reset)
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      LinkedBlockingQueue<ClientRequest> held = new LinkedBlockingQueue<>();
      stage.policy.onRequest = held::add;
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("waits", "x"));
      ClientRequest request = ScriptedPolicy.takeNext(held);
      onLoop(
          stage,
          () -> {
            caller.write(behind(kind));
            if (reset) {
              caller.reset();
            } else {
              caller.close();
            }
            // The module has found a server for it, in the same round of the loop.
            stage.policy.sendTo(0, request, 0);
          });
      assertEquals(AttemptOutcome.NOT_SENT, stage.policy.nextOutcome());
      assertEquals(1, ScriptedPolicy.takeNext(stage.policy.disconnected));
      takenIn(stage);
      assertEquals(0, stage.upstreams.get(0).pendingConnections());
      assertTrue(stage.policy.disconnected.isEmpty());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aFurtherAttemptDoesNotBeginWhileItsClientsLeavingLiesUnread(boolean halfOnly)
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture(2).start()) {
      HttpPeer caller = stage.connectClient();
      stage.policy.onUnansweredResult =
          (actions, outcome) -> {
            try {
              if (halfOnly) {
                // Who ends its sending has given its request up, as the protocol has it elsewhere.
                caller.socket.shutdownOutput();
              } else {
                caller.close();
              }
            } catch (java.io.IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
            actions.sendAttempt(outcome.requestId(), stage.policy.endpoints.get(1).id(), 0);
          };
      caller.write(ProxyFixture.idempotentRequest("again", "10"));
      HttpPeer first = stage.upstreams.get(0).accept();
      first.read();
      first.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
      assertEquals(AttemptOutcome.ERROR, stage.policy.nextOutcome());
      assertEquals(AttemptOutcome.NOT_SENT, stage.policy.nextOutcome());
      assertEquals(1, ScriptedPolicy.takeNext(stage.policy.disconnected));
      takenIn(stage);
      assertEquals(0, stage.upstreams.get(1).pendingConnections());
    }
  }

  @ParameterizedTest
  @CsvSource({"1,960", "0.2,180", "100,19960"})
  void aRequestsTimeEndsEarlyEnoughToTellItsClient(String remaining, double atMost)
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      LinkedBlockingQueue<Double> left = new LinkedBlockingQueue<>();
      stage.policy.onRequest =
          request -> {
            left.add(request.deadlineMillis() - stage.server.now());
            stage.policy.actions.reject(request.id(), 0);
          };
      stage.start();
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", remaining));
      assertEquals(503, caller.read().status());
      double told = ScriptedPolicy.takeNext(left);
      assertTrue(told <= atMost, told + " ms");
    }
  }

  @Test
  void twoNodesInOneProcessKeepTheirSettingsApart() throws Exception {
    try (ProxyFixture one = new ProxyFixture();
        ProxyFixture other = new ProxyFixture()) {
      // What may be repeated in the one must not run twice in the other, whatever its place and
      // name.
      other.configEdit =
          config ->
              config
                  .replace("look-up", "\0")
                  .replace("credit-spend", "look-up")
                  .replace("\0", "credit-spend");
      one.start();
      other.start();
      for (ProxyFixture stage : new ProxyFixture[] {other, one, other}) {
        HttpPeer getter = stage.connectClient();
        getter.write(ProxyFixture.idempotentRequest("g", "10"));
        HttpPeer spender = stage.connectClient();
        spender.write(ProxyFixture.atMostOnceRequest("s", "x"));
        // Both are out before one is answered, or the second could come on the first's connection.
        List<HttpPeer> out = new ArrayList<>();
        for (int i = 0; stage == one && i < 2; i++) {
          out.add(stage.upstreams.get(0).accept());
          out.get(i).read();
        }
        for (HttpPeer upstream : out) {
          upstream.write(ProxyFixture.okResponse("served"));
        }
        for (HttpPeer caller : new HttpPeer[] {getter, spender}) {
          assertEquals(stage == one ? 200 : 400, caller.read().status());
        }
      }
      assertEquals(0, other.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void theTimeOfARequestRunsWhileItWaitsForItsTurn() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(
          ProxyFixture.idempotentRequest("1", "10") + ProxyFixture.idempotentRequest("2", "0.001"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      takenIn(stage);
      LinkedBlockingQueue<Double> deadlines = new LinkedBlockingQueue<>();
      stage.policy.onRequest =
          request -> {
            deadlines.add(request.deadlineMillis());
            stage.policy.sendTo(0, request, 0);
          };
      double answered = stage.server.now();
      upstream.write(ProxyFixture.okResponse("first"));
      assertTrue(ScriptedPolicy.takeNext(deadlines) < answered + 1);
      assertEquals("first", caller.read().body());
      // It was over before its turn came, and has its answer all the same.
      assertEquals(502, caller.read().status());
      assertEquals(0, stage.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void aBodyOverTheLimitIsTurnedDown() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(
          ProxyFixture.atMostOnceRequest("1", "b".repeat(ProtocolHeaders.MAX_BODY_BYTES + 1)));
      assertEquals(413, caller.read().status());
      stage.assertStillServes();
    }
  }

  @Test
  void aCallerThatStillSendsHasItsAnswerAllTheSame() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write("no request at all\r\n\r\n");
      // The answer may be out before the rest comes in; it must not be lost to a reset.
      caller.write("x".repeat(200_000));
      assertEquals(400, caller.read().status());
      caller.socket.shutdownOutput();
      assertTrue(caller.isClosedByPeer());
    }
  }

  @Test
  void headersOverTheLimitAreTurnedDown() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write("GET /look-up HTTP/1.1\r\nX-Labels: " + "x".repeat(20_000) + "\r\n\r\n");
      int status = caller.read().status();
      assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
      stage.assertStillServes();
    }
  }

  @Test
  void aRefusalSaysWhenToComeBackAndAFailureIsNoRefusal() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage.policy.onRequest = request -> stage.policy.actions.reject(request.id(), 250);
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer.Message refused = caller.read();
      assertEquals(503, refused.status());
      assertEquals("0.250", refused.header("Retry-After"));
      stage.policy.onRequest = request -> stage.policy.actions.reject(request.id(), 0);
      caller.write(ProxyFixture.idempotentRequest("2", "10"));
      assertNull(caller.read().header("Retry-After"));
      stage.policy.onRequest = request -> stage.policy.actions.failRequest(request.id());
      caller.write(ProxyFixture.idempotentRequest("3", "10"));
      assertEquals(502, caller.read().status());
    }
  }

  @Test
  void anAnswerIsGivenOnceOnly() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage.policy.onRequest =
          request -> {
            stage.policy.actions.failRequest(request.id());
            stage.policy.actions.reject(request.id(), 0);
            stage.policy.actions.failRequest(request.id());
          };
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      assertEquals(502, caller.read().status());
      caller.write(HEALTH);
      assertEquals(200, caller.read().status());
    }
  }

  @Test
  void requestsSentAheadAreAnsweredInTheirOrder() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(
          ProxyFixture.idempotentRequest("1", "10")
              + ProxyFixture.idempotentRequest("2", "10")
              + HEALTH);
      HttpPeer upstream = stage.upstreams.get(0).accept();
      assertEquals("1", upstream.read().header("X-Txn"));
      upstream.write(ProxyFixture.okResponse("first"));
      // The first answer frees its connection only after the next request has looked for one.
      assertEquals("first", caller.read().body());
      HttpPeer second = stage.upstreams.get(0).accept();
      assertEquals("2", second.read().header("X-Txn"));
      second.write(ProxyFixture.okResponse("second"));
      assertEquals("second", caller.read().body());
      assertEquals(200, caller.read().status());
    }
  }

  @Test
  void aCallerThatLeavesIsGoneOnceAndLaterOutcomesAreDropped() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      caller.close();
      assertEquals(1, ScriptedPolicy.takeNext(stage.policy.disconnected));
      upstream.write(ProxyFixture.okResponse("nobody waits"));
      assertTrue(ScriptedPolicy.takeNext(stage.policy.results).requestClosed());
      stage.policy.onRequest = request -> stage.policy.actions.failRequest(request.id());
      HttpPeer other = stage.connectClient();
      other.write(ProxyFixture.idempotentRequest("2", "10"));
      other.read();
      assertTrue(stage.policy.disconnected.isEmpty());
    }
  }

  @ParameterizedTest
  @CsvSource({"request", "outcome", "timer"})
  void anExceptionInTheModuleFailsThatRequestOnly(String where) throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      ScriptedPolicy script = stage.policy;
      Runnable broken =
          () -> {
            throw new IllegalStateException("made by a test");
          };
      if (where.equals("request")) {
        script.onRequest = request -> broken.run();
      } else if (where.equals("outcome")) {
        script.onUnansweredResult = (actions, outcome) -> broken.run();
      } else {
        script.onRequest = request -> script.actions.scheduleTimer(7, 0);
        script.onTimer = broken;
      }
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      if (where.equals("outcome")) {
        HttpPeer upstream = stage.upstreams.get(0).accept();
        upstream.read();
        upstream.close();
      }
      assertEquals(500, caller.read().status());
      assertEquals(1, ScriptedPolicy.takeNext(script.disconnected));
      script.onRequest = request -> script.sendTo(0, request, 0);
      script.onUnansweredResult = (actions, outcome) -> {};
      stage.assertStillServes();
    }
  }

  @Test
  void aRequestThatTheModuleForgetsFailsSoonAfterItsDeadline() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage.policy.onRequest = request -> {};
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "0.1"));
      assertEquals(504, caller.read().status());
      assertEquals(1, ScriptedPolicy.takeNext(stage.policy.disconnected));
    }
  }

  @Test
  void anEventThatAnActionCausesWaitsForTheModulesCallToReturn() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      boolean[] inside = new boolean[1];
      boolean[] nested = new boolean[1];
      stage.policy.onResult = outcome -> nested[0] |= inside[0];
      stage.policy.onRequest =
          request -> {
            inside[0] = true;
            // No such upstream: the attempt has ended before the action returns.
            stage.policy.actions.sendAttempt(request.id(), 12_345, 0);
            inside[0] = false;
          };
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      assertEquals(502, caller.read().status());
      assertFalse(nested[0]);
    }
  }

  @Test
  void anAttemptOverTheLimitIsNotSent() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage.upstreams.get(0).close();
      stage.policy.onUnansweredResult =
          (actions, outcome) -> {
            if (outcome.outcome() == AttemptOutcome.NOT_SENT) {
              actions.reject(outcome.requestId(), 0);
            } else {
              actions.sendAttempt(outcome.requestId(), outcome.endpointId(), 0);
            }
          };
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      assertEquals(503, caller.read().status());
      assertEquals(5, stage.policy.results.size());
    }
  }
}
