package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.proxy.FullBacklogListener;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedListener;
import loadbalancer.proxy.ScriptedPolicy;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How attempts go out, and how each way in which they end is told to the module. */
@Timeout(60)
class UpstreamClientTest {

  @Test
  void aRequestGoesOnUnchangedAndItsAnswerComesBack() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(
          "POST /tile-order/a?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 9b1f03aa5c7e2d41\r\n"
              + "X-Lane: tile-order\r\nX-Remaining: 5\r\nIdempotency-Key: 5c0f\r\n"
              + "Connection: keep-alive\r\nContent-Length: 4\r\n\r\nbody");
      HttpPeer upstream = stage.upstreams.get(0).accept();
      HttpPeer.Message request = upstream.read();
      assertEquals("POST /tile-order/a?x=1 HTTP/1.1", request.startLine());
      assertEquals("9b1f03aa5c7e2d41", request.header("X-Txn"));
      assertEquals("5c0f", request.header("Idempotency-Key"));
      assertEquals("body", request.body());
      double remaining = Double.parseDouble(request.header("X-Remaining"));
      assertTrue(remaining > 0 && remaining <= 5, "remaining " + remaining);
      upstream.write(ProxyFixture.okResponse("served"));
      HttpPeer.Message answer = caller.read();
      assertEquals(200, answer.status());
      assertEquals("served", answer.body());
      assertEquals(AttemptOutcome.OK, stage.policy.nextOutcome());
    }
  }

  @Test
  void anUpstreamIsToldNoMoreThanTheAttemptsOwnTimeout() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage.policy.onRequest = request -> stage.policy.sendTo(0, request, 3_000);
      stage.connectClient().write(ProxyFixture.idempotentRequest("1", "9"));
      String remaining = stage.upstreams.get(0).accept().read().header("X-Remaining");
      assertTrue(Double.parseDouble(remaining) <= 3, remaining);
    }
  }

  @ParameterizedTest
  @CsvSource({"500,,ERROR", "503,1,FULL", "504,1,FULL", "503,,ERROR", "404,,ERROR", "500,1,ERROR"})
  void anAnswersStatusTellsItsOutcome(int status, String turnedAway, AttemptOutcome expected)
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      upstream.write(
          "HTTP/1.1 "
              + status
              + " No\r\nContent-Length: 0\r\n"
              + (turnedAway == null ? "" : "X-Turned-Away: " + turnedAway + "\r\n")
              + "\r\n");
      assertEquals(expected, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
    }
  }

  @Test
  void aRefusedConnectionNeverRan() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage.upstreams.get(0).close();
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      assertEquals(AttemptOutcome.CONNECT_FAILED, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        // Delimited by the end of the connection only: a crash would look the same.
        "HTTP/1.1 200 OK\r\n\r\nhalf"
      })
  void aConnectionThatEndsBeforeTheWholeAnswerIsAReset(String part) throws Exception {
    for (boolean abruptly : new boolean[] {false, true}) {
      try (ProxyFixture stage = new ProxyFixture().start()) {
        HttpPeer caller = stage.connectClient();
        caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
        HttpPeer upstream = stage.upstreams.get(0).accept();
        upstream.read();
        upstream.write(part);
        if (abruptly) {
          upstream.reset();
        } else {
          upstream.close();
        }
        assertEquals(AttemptOutcome.RESET, stage.policy.nextOutcome());
        HttpPeer.Message answer = caller.read();
        assertEquals(502, answer.status());
        assertEquals("", answer.body());
      }
    }
  }

  @Test
  void aRequestNotWrittenWholeNeverRan() throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      // Large bodies that nobody reads fill the buffers between; the last one can't be written.
      stage.upstreams.set(0, new ScriptedListener(1_024));
      stage.start();
      stage.server.onLoop(
          (frontend, upstreams) -> {
            upstreams.useOptions(upstreams.options().withSendBufferBytes(4_096));
            return null;
          });
      String body = "b".repeat(ProtocolHeaders.MAX_BODY_BYTES);
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", body));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.reset();
      assertEquals(AttemptOutcome.CONNECT_FAILED, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
    }
  }

  @ParameterizedTest
  @CsvSource({"200 OK,,CONNECT_FAILED", "503 No,1,FULL", "500 No,,ERROR"})
  void anAnswerBeforeTheRequestIsOutIsNoneToIt(
      String status, String turnedAway, AttemptOutcome expected) throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      stage.upstreams.set(0, new ScriptedListener(1_024));
      stage.start();
      stage.server.onLoop(
          (frontend, upstreams) -> {
            upstreams.useOptions(upstreams.options().withSendBufferBytes(4_096));
            return null;
          });
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "b".repeat(ProtocolHeaders.MAX_BODY_BYTES)));
      // It reads nothing, so that the request can't be out.
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.write(
          "HTTP/1.1 "
              + status
              + "\r\nContent-Length: 5\r\n"
              + (turnedAway == null ? "" : "X-Turned-Away: " + turnedAway + "\r\n")
              + "\r\nother");
      assertEquals(expected, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
      })
  void aMalformedAnswerIsAnError(String answer) throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      upstream.write(answer);
      assertEquals(AttemptOutcome.ERROR, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
      assertTrue(upstream.isClosedByPeer());
      stage.assertStillServes();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "noise that has no end of a line",
        "HTTX",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore and more",
        // These would go on for ever, or never do.
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n\r\nhalf"
      })
  void aSpoiltAnswerIsAFailureThatMayHaveRunAndEndsItsConnection(String answer) throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      // The upstream leaves the connection open; without care the request would wait for its end.
      upstream.write(answer);
      assertEquals(AttemptOutcome.ERROR, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
      assertTrue(upstream.isClosedByPeer());
      stage.assertStillServes();
    }
  }

  @Test
  void endlessHeadsAndInterimAnswersAreCutOff() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      for (String endless :
          new String[] {"HTTP/1.1 100 Continue\r\n\r\n", "X-More: of the same\r\n"}) {
        caller.write(ProxyFixture.idempotentRequest("1", "20"));
        HttpPeer upstream = stage.upstreams.get(0).accept();
        upstream.read();
        try {
          upstream.write(
              "HTTP/1.1 100 Continue\r\n"
                  + (endless.startsWith("X") ? "" : "\r\n")
                  + endless.repeat(1_000));
        } catch (IOException e) {
          // Cut off in the middle is soon enough.
        }
        assertEquals(AttemptOutcome.ERROR, stage.policy.nextOutcome());
        assertEquals(502, caller.read().status());
      }
    }
  }

  @Test
  void interimAnswersAheadOfOneAreSkipped() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      upstream.write(
          "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + "Link: x\r\n\r\nHTTP/1");
      takenIn(stage);
      upstream.write(ProxyFixture.okResponse("served").substring(6));
      assertEquals("served", caller.read().body());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "H",
        "noise",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nco"
      })
  void whatFollowsAnAnswerIsNotTakenForTheNext(String more) throws Exception {
    for (boolean later : new boolean[] {false, true}) {
      try (ProxyFixture stage = new ProxyFixture().start()) {
        HttpPeer caller = stage.connectClient();
        caller.write(ProxyFixture.idempotentRequest("1", "10"));
        HttpPeer upstream = stage.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("mine") + (later ? "" : more));
        assertEquals("mine", caller.read().body());
        if (later) {
          upstream.write(more);
        }
        caller.write(ProxyFixture.idempotentRequest("2", "10"));
        HttpPeer fresh = stage.upstreams.get(0).accept();
        assertEquals("2", fresh.read().header("X-Txn"));
        assertTrue(upstream.isClosedByPeer());
        fresh.write(ProxyFixture.okResponse("yours"));
        assertEquals("yours", caller.read().body());
      }
    }
  }

  /** Returns once the node has read what came before. */
  private static void takenIn(ProxyFixture stage) throws Exception {
    HttpPeer other = stage.connectClient();
    other.write("GET /_health HTTP/1.1\r\n\r\n");
    other.read();
  }

  @Test
  void onlyWhatTheProtocolNamesGoesOn() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage
          .connectClient()
          .write(
              ProxyFixture.idempotentRequest("1", "10")
                  .replace(
                      "Host:",
                      "Authorization: secret\r\n" + "X-Turned-Away: 1\r\nX-Labels: a=1\r\nHost:"));
      HttpPeer.Message passed = stage.upstreams.get(0).accept().read();
      assertEquals("a=1", passed.header("X-Labels"));
      assertEquals(
          java.util.Set.of("host", "x-txn", "x-lane", "x-labels", "x-remaining"),
          passed.headers().keySet());
    }
  }

  @Test
  void aShortageOfDescriptorsHereIsNotHeldAgainstAnUpstream() throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      stage.maxDescriptors = 64 + 5;
      stage.start();
      stage.policy.onRequest = request -> {};
      for (int i = 0; i < 4; i++) {
        stage.connectClient().write(ProxyFixture.idempotentRequest("r" + i, "20"));
      }
      takenIn(stage);
      stage.policy.onRequest = request -> stage.policy.sendTo(0, request, 0);
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("more", "20"));
      assertEquals(AttemptOutcome.NOT_SENT, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
    }
  }

  @Test
  void anUpstreamThatDrainedAndLeftIsForgotten() throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
      stage.start();
      HttpPeer watch = tell(stage, ProxyFixture.endpointEntry(9, "127.0.0.1:9", "up"));
      String[] states = {"draining", "removed"};
      for (int i = 0; i < states.length; i++) {
        watch.read();
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    43 + i, false, ProxyFixture.endpointEntry(9, "127.0.0.1:9", states[i]))));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      }
      int endpointCount =
          stage.server.onLoop(
              (frontend, upstreams) -> {
                upstreams.pool().sweep(stage.server.now() + 60_000);
                return upstreams.pool().endpointCount();
              });
      assertEquals(0, endpointCount);
    }
  }

  @Test
  void aReportOutOfRangeIsNone() {
    List<String> fields = List.of("queue");
    for (String text :
        new String[] {"TEXT queue=-1", "queue=1e99", "queue=NaN", "queue=", "queue", ""}) {
      assertEquals(null, LoadReportParser.parse(text, fields));
    }
    assertEquals(2, LoadReportParser.parse("TEXT queue=2", fields)[0]);
  }

  @Test
  void callersThatRestGiveWayToACallOfAnother() throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      stage.maxDescriptors = 64 + 5;
      stage.start();
      List<HttpPeer> resting = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        resting.add(stage.connectClient());
        resting.get(i).write("GET /_health HTTP/1.1\r\n\r\n");
        resting.get(i).read();
      }
      stage.assertStillServes();
      assertTrue(resting.get(0).isClosedByPeer());
    }
  }

  @Test
  void anAnswerOverTheLimitIsAnErrorAndOneAtItIsNot() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      for (int extra = 0; extra < 2; extra++) {
        caller.write(ProxyFixture.idempotentRequest("1", "10"));
        HttpPeer upstream = stage.upstreams.get(0).accept();
        upstream.read();
        String body = "b".repeat(ProtocolHeaders.MAX_BODY_BYTES + extra);
        try {
          upstream.write(
              "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                  + body.length()
                  + "\r\n\r\n"
                  + body);
        } catch (IOException e) {
          assertEquals(1, extra, "only the answer that is too large may be cut off");
        }
        assertEquals(
            extra == 0 ? AttemptOutcome.OK : AttemptOutcome.ERROR, stage.policy.nextOutcome());
        assertEquals(extra == 0 ? 200 : 502, caller.read().status());
      }
      stage.assertStillServes();
    }
  }

  @Test
  void aSilentUpstreamTimesOutAndItsConnectionIsClosed() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage.policy.onRequest = request -> stage.policy.sendTo(0, request, 100);
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      assertNotNull(upstream.read());
      assertTrue(upstream.isClosedByPeer());
      assertEquals(AttemptOutcome.TIMEOUT, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
    }
  }

  @Test
  void aCancelledAttemptClosesItsConnection() throws Exception {
    try (ProxyFixture stage = new ProxyFixture(2).start()) {
      // A second copy: the first answer wins, the other is called off.
      stage.policy.onRequest =
          request -> {
            stage.policy.sendTo(0, request, 0);
            stage.policy.sendTo(1, request, 0);
          };
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer slow = stage.upstreams.get(0).accept();
      slow.read();
      HttpPeer fast = stage.upstreams.get(1).accept();
      fast.read();
      stage.policy.onResult = outcome -> stage.policy.actions.cancelAttempt(outcome.requestId(), 0);
      fast.write(ProxyFixture.okResponse("fast"));
      assertEquals("fast", caller.read().body());
      assertEquals(AttemptOutcome.OK, stage.policy.nextOutcome());
      assertTrue(slow.isClosedByPeer());
      assertEquals(AttemptOutcome.CANCELLED, stage.policy.nextOutcome());
    }
  }

  @Test
  void anAnswerAndItsTimeoutAtOneInstantAreOneOutcome() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage.policy.onRequest = request -> stage.policy.sendTo(0, request, 500);
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      double sent = stage.server.now();
      stage.server.onLoop(
          (frontend, upstreams) -> {
            try {
              upstream.write(ProxyFixture.okResponse("served"));
            } catch (IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
            // Both are there when the node looks again.
            while (stage.server.now() < sent + 500) {
              Thread.onSpinWait();
            }
            return null;
          });
      AttemptOutcome result = stage.policy.nextOutcome();
      assertTrue(
          result == AttemptOutcome.OK || result == AttemptOutcome.TIMEOUT, "ended as " + result);
      assertEquals(result == AttemptOutcome.OK ? 200 : 502, caller.read().status());
      takenIn(stage);
      assertTrue(stage.policy.results.isEmpty());
    }
  }

  @Test
  void aCancelThatCrossesAnAnswerEndsTheAttemptOnce() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      stage.server.onLoop(
          (frontend, upstreams) -> {
            try {
              upstream.write(ProxyFixture.okResponse("crosses"));
            } catch (IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
            stage.policy.actions.cancelAttempt(1, 0);
            return null;
          });
      assertEquals(AttemptOutcome.CANCELLED, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
      assertTrue(upstream.isClosedByPeer());
      stage.assertStillServes();
      assertEquals(AttemptOutcome.OK, stage.policy.nextOutcome());
      assertTrue(stage.policy.results.isEmpty());
    }
  }

  @Test
  void aConnectionIsUsedAgainWhileItIsAlive() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      HttpPeer upstream = null;
      for (int i = 0; i < 3; i++) {
        caller.write(ProxyFixture.idempotentRequest("r" + i, "10"));
        upstream = upstream == null ? stage.upstreams.get(0).accept() : upstream;
        assertEquals("r" + i, upstream.read().header("X-Txn"));
        upstream.write(ProxyFixture.okResponse("a" + i));
        assertEquals("a" + i, caller.read().body());
      }
      assertEquals(0, stage.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void aSecondAnswerThatComesLateNeverReachesTheNextRequest() throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      stage.settleMillis = HttpPeer.TIMEOUT_MILLIS;
      stage.start();
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer first = stage.upstreams.get(0).accept();
      first.read();
      first.write(ProxyFixture.okResponse("one"));
      assertEquals("one", caller.read().body());
      caller.write(ProxyFixture.idempotentRequest("2", "10"));
      // What is to come on the first one is not known yet.
      HttpPeer second = stage.upstreams.get(0).accept();
      assertEquals("2", second.read().header("X-Txn"));
      first.write(ProxyFixture.okResponse("one"));
      assertTrue(first.isClosedByPeer());
      second.write(ProxyFixture.okResponse("two"));
      assertEquals("two", caller.read().body());
    }
  }

  @Test
  void aConnectionThatHasSettledIsUsedAheadOfANewOne() throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      stage.settleMillis = 1e9;
      stage.start();
      HttpPeer caller = stage.connectClient();
      HttpPeer[] both = new HttpPeer[2];
      for (int i = 0; i < 2; i++) {
        caller.write(ProxyFixture.idempotentRequest("r" + i, "10"));
        both[i] = stage.upstreams.get(0).accept();
        both[i].read();
        both[i].write(ProxyFixture.okResponse("a" + i));
        assertEquals("a" + i, caller.read().body());
      }
      stage.server.onLoop(
          (frontend, upstreams) -> {
            upstreams.useOptions(upstreams.options().withReuseDelayMillis(0));
            return null;
          });
      caller.write(ProxyFixture.idempotentRequest("r2", "10"));
      assertEquals("r2", both[1].read().header("X-Txn"));
      assertEquals(0, stage.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void whatMustNotBeSentAgainUsesAKeptConnectionWhileNoneBreaks() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      trustNoRest(stage);
      HttpPeer caller = stage.connectClient();
      HttpPeer upstream = null;
      for (int i = 0; i < 3; i++) {
        caller.write(ProxyFixture.atMostOnceRequest("s" + i, "x"));
        upstream = upstream == null ? stage.upstreams.get(0).accept() : upstream;
        assertEquals("s" + i, upstream.read().header("X-Txn"));
        upstream.write(ProxyFixture.okResponse("a" + i));
        assertEquals("a" + i, caller.read().body());
      }
      assertEquals(0, stage.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void onceOneBrokeAtRestWhatMustNotBeSentAgainGetsANewConnection() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      trustNoRest(stage);
      stage.server.onLoop(
          (frontend, upstreams) -> {
            upstreams.pool().trust().recordReset(400);
            return null;
          });
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("s1", "x"));
      HttpPeer first = stage.upstreams.get(0).accept();
      first.read();
      first.write(ProxyFixture.okResponse("a"));
      assertEquals("a", caller.read().body());
      caller.write(ProxyFixture.atMostOnceRequest("s2", "x"));
      HttpPeer second = stage.upstreams.get(0).accept();
      assertEquals("s2", second.read().header("X-Txn"));
      // The new one takes the place of the old one, so that idle connections don't pile up.
      assertTrue(first.isClosedByPeer());
      second.write(ProxyFixture.okResponse("b"));
      assertEquals("b", caller.read().body());
      caller.write(ProxyFixture.idempotentRequest("g1", "10"));
      assertEquals("g1", second.read().header("X-Txn"));
      second.write(ProxyFixture.okResponse("c"));
      assertEquals("c", caller.read().body());
    }
  }

  /** Any rest is too long for a connection to be young. */
  private static void trustNoRest(ProxyFixture stage) throws InterruptedException {
    stage.server.onLoop(
        (frontend, upstreams) -> {
          upstreams.useOptions(upstreams.options().withFreshIdleMillis(0));
          return null;
        });
  }

  @Test
  void aStrayBreakTellsNothingOfTheRestBeforeIt() {
    IdleConnectionTrust freshness = new IdleConnectionTrust(20_000, 50);
    assertTrue(freshness.trusts(19_000, false));
    for (int i = 0; i < 20; i++) {
      freshness.recordReset(400);
      assertTrue(freshness.trusts(19_000, true));
      // What would be lost with its connection is not put at risk meanwhile.
      assertFalse(freshness.trusts(51, false));
      assertTrue(freshness.trusts(50, false));
      for (int use = 0; use < 10; use++) {
        freshness.recordSuccess(400);
      }
    }
    for (int use = 0; use < 60; use++) {
      freshness.recordSuccess(400);
    }
    assertTrue(freshness.trusts(19_000, false));
  }

  @Test
  void manyBreaksAtOnceAfterARestShortenTheRestThatIsTrusted() {
    IdleConnectionTrust freshness = new IdleConnectionTrust(20_000, 50);
    assertTrue(freshness.trusts(19_000, true));
    for (int i = 0; i < 3; i++) {
      assertTrue(freshness.trusts(201, true));
      freshness.recordReset(400);
      // Young ones tell nothing.
      freshness.recordSuccess(50);
    }
    assertTrue(freshness.trusts(200, true));
    assertFalse(freshness.trusts(201, true));
    // A break after a longer rest tells nothing new, one after the shortest does not end all trust.
    freshness.recordReset(600);
    assertFalse(freshness.trusts(201, true));
    freshness.recordReset(1);
    assertTrue(freshness.trusts(50, true));
    for (int second = 0; second < 60; second++) {
      freshness.recover();
    }
    assertTrue(freshness.trusts(20_000, true));
    assertFalse(freshness.trusts(20_001, true));
    assertTrue(freshness.trusts(20_000, false));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aPooledConnectionThatItsUpstreamClosedIsNotUsed(boolean abruptly) throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer upstream = stage.upstreams.get(0).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("one"));
      caller.read();
      if (abruptly) {
        upstream.reset();
      } else {
        upstream.close();
      }
      caller.write(ProxyFixture.idempotentRequest("2", "10"));
      HttpPeer fresh = stage.upstreams.get(0).accept();
      assertEquals("2", fresh.read().header("X-Txn"));
      fresh.write(ProxyFixture.okResponse("two"));
      assertEquals("two", caller.read().body());
      assertEquals(AttemptOutcome.OK, stage.policy.nextOutcome());
      assertEquals(AttemptOutcome.OK, stage.policy.nextOutcome());
    }
  }

  @Test
  void aConnectionThatNeverComesUpNeverRan() throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      stage.connectTimeoutMillis = 200;
      stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
      stage.start();
      tell(stage, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      assertEquals(AttemptOutcome.CONNECT_FAILED, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
    }
  }

  @Test
  void aConnectionThatComesUpLateIsDialledOnceMore() throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      stage.connectTimeoutMillis = 15_000;
      stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
      stage.start();
      // As after many that came up in no time; the first is dialled once more after 10 ms.
      stage.server.onLoop(
          (frontend, upstreams) -> {
            upstreams.useOptions(
                upstreams.options().withInitialConnectMillis(0.1).withReuseDelayMillis(0));
            return null;
          });
      tell(stage, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "9"));
      // Both hang until the backlog has room.
      while (stage.server.onLoop((frontend, upstreams) -> upstreams.pendingConnections()) < 2) {
        Thread.onSpinWait();
      }
      List<HttpPeer> up = new CopyOnWriteArrayList<>();
      Thread accepting = new Thread(() -> acceptAll(full, up));
      accepting.start();
      // Whichever is up first has the request, and the other nothing.
      HttpPeer carries = null;
      while (carries == null) {
        for (HttpPeer one : up) {
          carries = one.unreadBytes() > 0 ? one : carries;
        }
      }
      carries.read();
      carries.write(ProxyFixture.okResponse("served"));
      assertEquals(200, caller.read().status());
      assertEquals(AttemptOutcome.OK, stage.policy.nextOutcome());
      while (stage.server.onLoop((frontend, upstreams) -> upstreams.pendingConnections()) > 0) {
        Thread.onSpinWait();
      }
      for (HttpPeer one : up) {
        assertEquals(0, one.unreadBytes());
        one.close();
      }
    }
  }

  private static void acceptAll(FullBacklogListener full, List<HttpPeer> up) {
    try {
      while (true) {
        up.add(full.acceptAfterBacklog());
      }
    } catch (Exception e) {
      // The listening socket was closed.
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {50, 1_800})
  void anAttemptThatWaitsToConnectDoesNotBeginAfterTheGraceOfADrain(int grace) throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      stage.connectTimeoutMillis = 15_000;
      // Half of it is left to the news, which may have been there for so long.
      stage.drainGraceMillis = grace;
      stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
      stage.start();
      HttpPeer watch = tell(stage, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      // The node has the request once it has answered what came after it on its one thread.
      HttpPeer other = stage.connectClient();
      other.write("GET /_health HTTP/1.1\r\n\r\n");
      other.read();
      watch.read();
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  43, false, ProxyFixture.endpointEntry(9, full.address(), "draining"))));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      // The kernel tries to connect again only after a second, long past the grace.
      try (HttpPeer late = full.acceptAfterBacklog()) {
        assertTrue(late.isClosedByPeer(), "the request was written after the grace");
      }
      assertEquals(AttemptOutcome.CONNECT_FAILED, stage.policy.nextOutcome());
      assertEquals(502, caller.read().status());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anAttemptThatWaitsToConnectDoesNotBeginOnceItsClientHasLeft(boolean reset) throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      stage.connectTimeoutMillis = 15_000;
      stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
      stage.start();
      tell(stage, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      takenIn(stage);
      if (reset) {
        caller.reset();
      } else {
        caller.close();
      }
      // The module, which may not be allowed to, calls nothing off; the connection still hangs.
      assertEquals(AttemptOutcome.NOT_SENT, stage.policy.nextOutcome());
      assertEquals(1, ScriptedPolicy.takeNext(stage.policy.disconnected));
    }
  }

  @Test
  void anAttemptWhoseConnectionComesUpDoesNotBeginWhileItsClientsLeavingLiesUnread()
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      stage.connectTimeoutMillis = 15_000;
      stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
      stage.start();
      tell(stage, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      takenIn(stage);
      HttpPeer late =
          stage.server.onLoop(
              (frontend, upstreams) -> {
                try {
                  // The node sees both only afterwards, and what came first is handled first.
                  HttpPeer up = full.acceptAfterBacklog();
                  caller.close();
                  return up;
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      try (late) {
        assertTrue(late.isClosedByPeer(), "the request was written for nobody");
      }
      assertEquals(AttemptOutcome.NOT_SENT, stage.policy.nextOutcome());
      assertEquals(1, ScriptedPolicy.takeNext(stage.policy.disconnected));
    }
  }

  @Test
  void anAttemptThatWaitsToConnectDoesNotBeginWhereItsUpstreamWasBefore() throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      stage.connectTimeoutMillis = 15_000;
      stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
      stage.start();
      HttpPeer watch = tell(stage, ProxyFixture.endpointEntry(9, full.address(), "up"));
      stage.connectClient().write(ProxyFixture.atMostOnceRequest("1", "x"));
      takenIn(stage);
      watch.read();
      // It drains, goes, and is back under its id elsewhere: the old address may be another's now.
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  43, false, ProxyFixture.endpointEntry(9, full.address(), "draining"))));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      watch.read();
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  44,
                  false,
                  ProxyFixture.endpointEntry(9, stage.upstreams.get(0).address(), "up"))));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      try (HttpPeer late = full.acceptAfterBacklog()) {
        assertTrue(late.isClosedByPeer(), "the request was written to the old address");
      }
      assertEquals(AttemptOutcome.CONNECT_FAILED, stage.policy.nextOutcome());
      stage.assertStillServes();
    }
  }

  @Test
  void aConnectionToWhereAnUpstreamWasIsNotKeptForItsNextRequest() throws Exception {
    try (ProxyFixture stage = new ProxyFixture(2)) {
      stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
      stage.start();
      HttpPeer watch =
          tell(stage, ProxyFixture.endpointEntry(9, stage.upstreams.get(1).address(), "up"));
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer old = stage.upstreams.get(1).accept();
      old.read();
      watch.read();
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  43,
                  false,
                  ProxyFixture.endpointEntry(9, stage.upstreams.get(0).address(), "up"))));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      old.write(ProxyFixture.okResponse("before"));
      assertEquals("before", caller.read().body());
      assertTrue(old.isClosedByPeer());
      stage.assertStillServes();
    }
  }

  @Test
  void aProbeBringsTheLoadReport() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      stage.policy.onRequest =
          request -> {
            stage.policy.actions.checkHealth(stage.policy.endpoints.get(0).id());
            stage.policy.actions.reject(request.id(), 0);
          };
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("1", "10"));
      assertEquals(503, caller.read().status());
      HttpPeer upstream = stage.upstreams.get(0).accept();
      assertEquals("GET /_load HTTP/1.1", upstream.read().startLine());
      upstream.write(ProxyFixture.okResponse("TEXT queue=2, eps=0.5, latency_ms=61"));
      assertEquals("OK [2.0, 0.5, 61.0]", ScriptedPolicy.takeNext(stage.policy.healthChecks));
    }
  }

  @Test
  void idleConnectionsGiveWayToCallersWhenDescriptorsRunShort() throws Exception {
    try (ProxyFixture stage = new ProxyFixture(6)) {
      stage.maxDescriptors = 64 + 10;
      stage.start();
      HttpPeer caller = stage.connectClient();
      List<HttpPeer> idle = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        int to = i;
        stage.policy.onRequest = request -> stage.policy.sendTo(to, request, 0);
        caller.write(ProxyFixture.idempotentRequest("r" + i, "10"));
        idle.add(stage.upstreams.get(i).accept());
        idle.get(i).read();
        idle.get(i).write(ProxyFixture.okResponse("a"));
        caller.read();
      }
      for (int i = 0; i < 6; i++) {
        HttpPeer more = stage.connectClient();
        more.write("GET /_health HTTP/1.1\r\n\r\n");
        assertEquals(200, more.read().status());
      }
      assertTrue(
          idle.get(0).isClosedByPeer()
              && idle.get(1).isClosedByPeer()
              && idle.get(2).isClosedByPeer());
    }
  }

  /** Answers the node's first watch with a whole list of one upstream. */
  private static HttpPeer tell(ProxyFixture stage, String entry) throws Exception {
    ScriptedPolicy.takeNext(stage.policy.updates);
    HttpPeer watch = stage.discovery.accept();
    watch.read();
    watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, true, entry)));
    assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
    return watch;
  }
}
