package loadbalancer.proxy.upstream;

import static loadbalancer.proxy.upstream.UpstreamTestSupport.awaitInputRead;
import static loadbalancer.proxy.upstream.UpstreamTestSupport.useOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import loadbalancer.model.AttemptOutcome;
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

/** Tests how requests are forwarded, and which outcome an attempt has. */
@Timeout(60)
class UpstreamClientTest {

  @Test
  void forwardsTheRequestAndReturnsTheResponse() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      client.write(
          "POST /tile-order/a?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 9b1f03aa5c7e2d41\r\n"
              + "X-Lane: tile-order\r\nX-Remaining: 5\r\nIdempotency-Key: 5c0f\r\n"
              + "Connection: keep-alive\r\nContent-Length: 4\r\n\r\nbody");
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      HttpPeer.Message request = upstream.read();
      assertEquals("POST /tile-order/a?x=1 HTTP/1.1", request.startLine());
      assertEquals("9b1f03aa5c7e2d41", request.header("X-Txn"));
      assertEquals("5c0f", request.header("Idempotency-Key"));
      assertEquals("body", request.body());
      double remaining = Double.parseDouble(request.header("X-Remaining"));
      assertTrue(remaining > 0 && remaining <= 5, "remaining time in seconds: " + remaining);
      upstream.write(ProxyFixture.okResponse("served"));
      HttpPeer.Message response = client.read();
      assertEquals(200, response.status());
      assertEquals("served", response.body());
      assertEquals(AttemptOutcome.OK, proxy.policy.nextOutcome());
    }
  }

  @Test
  void forwardsOnlyTheHeadersOfTheProtocol() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      proxy
          .connectClient()
          .write(
              ProxyFixture.idempotentRequest("1", "10")
                  .replace(
                      "Host:",
                      "Authorization: secret\r\n" + "X-Turned-Away: 1\r\nX-Labels: a=1\r\nHost:"));
      HttpPeer.Message forwarded = proxy.upstreams.get(0).accept().read();
      assertEquals("a=1", forwarded.header("X-Labels"));
      assertEquals(
          java.util.Set.of("host", "x-txn", "x-lane", "x-labels", "x-remaining"),
          forwarded.headers().keySet());
    }
  }

  @Test
  void remainingTimeIsAtMostTheTimeoutOfTheAttempt() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      proxy.policy.onRequest = request -> proxy.policy.sendTo(0, request, 3_000);
      proxy.connectClient().write(ProxyFixture.idempotentRequest("1", "9"));
      String remaining = proxy.upstreams.get(0).accept().read().header("X-Remaining");
      assertTrue(Double.parseDouble(remaining) <= 3, remaining);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "500,,ERROR",
    "503,1,REJECTED",
    "504,1,REJECTED",
    "503,,ERROR",
    "404,,ERROR",
    "500,1,ERROR"
  })
  void responseStatusDeterminesTheOutcome(int status, String rejected, AttemptOutcome expected)
      throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.read();
      upstream.write(
          "HTTP/1.1 "
              + status
              + " No\r\nContent-Length: 0\r\n"
              + (rejected == null ? "" : "X-Turned-Away: " + rejected + "\r\n")
              + "\r\n");
      assertEquals(expected, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @Test
  void resetBeforeTheRequestIsWrittenIsConnectFailed() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture()) {
      // The endpoint reads nothing and the buffers are small, so the body can't be written whole.
      proxy.upstreams.set(0, new ScriptedListener(1_024));
      proxy.start();
      useOptions(proxy, options -> options.withSendBufferBytes(4_096));
      String body = "b".repeat(ProtocolHeaders.MAX_BODY_BYTES);
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", body));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.reset();
      assertEquals(AttemptOutcome.CONNECT_FAILED, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\n\r\nwithout a length"})
  void incompleteResponseTimesOutAndClosesTheConnection(String response) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      proxy.policy.onRequest = request -> proxy.policy.sendTo(0, request, 100);
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      assertNotNull(upstream.read());
      upstream.write(response);
      assertTrue(upstream.isClosedByPeer());
      assertEquals(AttemptOutcome.TIMEOUT, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @Test
  void cancelClosesTheConnection() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(2).start()) {
      // A hedged request: the policy cancels the slower attempt once the faster one has ended.
      proxy.policy.onRequest =
          request -> {
            proxy.policy.sendTo(0, request, 0);
            proxy.policy.sendTo(1, request, 0);
          };
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer slowUpstream = proxy.upstreams.get(0).accept();
      slowUpstream.read();
      slowUpstream.write("HTTP/1.1 200 OK\r\n\r\nwithout a length");
      awaitInputRead(proxy);
      HttpPeer fastUpstream = proxy.upstreams.get(1).accept();
      fastUpstream.read();
      proxy.policy.onResult = outcome -> proxy.policy.actions.cancelAttempt(outcome.requestId(), 0);
      fastUpstream.write(ProxyFixture.okResponse("fast"));
      assertEquals("fast", client.read().body());
      assertEquals(AttemptOutcome.OK, proxy.policy.nextOutcome());
      assertTrue(slowUpstream.isClosedByPeer());
      assertEquals(AttemptOutcome.CANCELLED, proxy.policy.nextOutcome());
    }
  }

  @Test
  void simultaneousResponseAndTimeoutHaveOneOutcome() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      proxy.policy.onRequest = request -> proxy.policy.sendTo(0, request, 500);
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.read();
      double requestReadAtMillis = proxy.server.now();
      proxy.server.onLoop(
          (frontend, upstreams) -> {
            try {
              upstream.write(ProxyFixture.okResponse("served"));
            } catch (IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
            // The event loop is blocked until the timeout, so that the response and the timeout are
            // both due when it continues.
            while (proxy.server.now() < requestReadAtMillis + 500) {
              Thread.onSpinWait();
            }
            return null;
          });
      AttemptOutcome outcome = proxy.policy.nextOutcome();
      assertTrue(
          outcome == AttemptOutcome.OK || outcome == AttemptOutcome.TIMEOUT, "outcome " + outcome);
      assertEquals(outcome == AttemptOutcome.OK ? 200 : 502, client.read().status());
      awaitInputRead(proxy);
      assertTrue(proxy.policy.results.isEmpty());
    }
  }

  @Test
  void cancelBeforeAnUnreadResponseHasOneOutcome() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.read();
      proxy.server.onLoop(
          (frontend, upstreams) -> {
            try {
              upstream.write(ProxyFixture.okResponse("unread"));
            } catch (IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
            proxy.policy.actions.cancelAttempt(1, 0);
            return null;
          });
      assertEquals(AttemptOutcome.CANCELLED, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
      assertTrue(upstream.isClosedByPeer());
      proxy.assertStillServes();
      assertEquals(AttemptOutcome.OK, proxy.policy.nextOutcome());
      assertTrue(proxy.policy.results.isEmpty());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 36\r\n", ""})
  void healthCheckReturnsTheLoadReport(String length) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      proxy.policy.onRequest =
          request -> {
            proxy.policy.actions.checkHealth(proxy.policy.endpoints.get(0).id());
            proxy.policy.actions.reject(request.id(), 0);
          };
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "10"));
      assertEquals(503, client.read().status());
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      assertEquals("GET /_load HTTP/1.1", upstream.read().startLine());
      upstream.write("HTTP/1.1 200 OK\r\n" + length + "\r\nTEXT queue=2, eps=0.5, latency_ms=61");
      upstream.close();
      assertEquals("OK [2.0, 0.5, 61.0]", ScriptedPolicy.takeNext(proxy.policy.healthChecks));
    }
  }
}
