package loadbalancer.proxy.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.ClientRequest;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedPolicy;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Client connections: each request has one response, whatever the client or the policy do. */
@Timeout(60)
class FrontendTest {

  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  /** Checks the timeouts of all connections as if so much time had passed. */
  private static void checkTimeoutsAfter(ProxyFixture fixture, double millis) throws Exception {
    fixture.server.onLoop(
        (frontend, upstreams) -> {
          frontend.checkTimeouts(fixture.server.now() + millis);
          return null;
        });
  }

  /** Returns once the server has read what clients sent before. */
  private static void awaitInputRead(ProxyFixture fixture) throws Exception {
    HttpPeer other = fixture.connectClient();
    other.write(HEALTH_CHECK);
    other.read();
    other.close();
  }

  private interface Task {
    void run() throws IOException;
  }

  /** Runs a task on the event loop; what it sends stays unread in the kernel until it returns. */
  private static void runOnLoop(ProxyFixture fixture, Task task) throws Exception {
    fixture.server.onLoop(
        (frontend, upstreams) -> {
          try {
            task.run();
            return null;
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /** What a client sends after its request, before it disconnects. */
  private static String furtherInput(String kind) {
    return switch (kind) {
      case "pipelined" -> ProxyFixture.atMostOnceRequest("pipelined", "b".repeat(30_000));
      case "partial" ->
          "POST /credit-spend HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + "b".repeat(30_000);
      case "malformed" -> "no request at all\r\n\r\n" + "x".repeat(30_000);
      default -> "";
    };
  }

  /** Requests that violate the protocol are rejected and not forwarded. */
  @Nested
  class RequestValidation {

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
    void rejectsMalformedRequest(String request) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write(request);
        HttpPeer.Message response = client.read();
        assertEquals(400, response.status());
        assertEquals("close", response.header("Connection"));
        assertTrue(client.isClosedByPeer());
        // The upstream receives the next client's request first, and no part of the malformed one.
        fixture.assertStillServes();
      }
    }

    @Test
    void rejectsBodyOverLimit() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write(
            ProxyFixture.atMostOnceRequest("1", "b".repeat(ProtocolHeaders.MAX_BODY_BYTES + 1)));
        assertEquals(413, client.read().status());
        fixture.assertStillServes();
      }
    }

    @Test
    void rejectsHeadersOverLimit() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write("GET /look-up HTTP/1.1\r\nX-Labels: " + "x".repeat(20_000) + "\r\n\r\n");
        int status = client.read().status();
        assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
        fixture.assertStillServes();
      }
    }

    @Test
    void rejectsRequestIdThatIsInFlight() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer first = fixture.connectClient();
        first.write(ProxyFixture.atMostOnceRequest("same", "x"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        HttpPeer second = fixture.connectClient();
        second.write(ProxyFixture.atMostOnceRequest("same", "x"));
        assertEquals(409, second.read().status());
        assertTrue(second.isClosedByPeer());
        upstream.write(ProxyFixture.okResponse("first"));
        assertEquals("first", first.read().body());
        // The request ID is free again.
        first.write(ProxyFixture.idempotentRequest("same", "10"));
        assertEquals("same", upstream.read().header("X-Txn"));
      }
    }

    @Test
    void twoServersInOneProcessKeepTheirSettingsApart() throws Exception {
      try (ProxyFixture one = new ProxyFixture();
          ProxyFixture other = new ProxyFixture()) {
        // Guards against shared state: a class that is idempotent in one server is not in the
        // other.
        other.configEdit =
            config ->
                config
                    .replace("look-up", "\0")
                    .replace("credit-spend", "look-up")
                    .replace("\0", "credit-spend");
        one.start();
        other.start();
        for (ProxyFixture fixture : new ProxyFixture[] {other, one, other}) {
          HttpPeer getter = fixture.connectClient();
          getter.write(ProxyFixture.idempotentRequest("g", "10"));
          HttpPeer spender = fixture.connectClient();
          spender.write(ProxyFixture.atMostOnceRequest("s", "x"));
          // Both are in flight before one is answered, or they could share an upstream connection.
          List<HttpPeer> out = new ArrayList<>();
          for (int i = 0; fixture == one && i < 2; i++) {
            out.add(fixture.upstreams.get(0).accept());
            out.get(i).read();
          }
          for (HttpPeer upstream : out) {
            upstream.write(ProxyFixture.okResponse("served"));
          }
          for (HttpPeer client : new HttpPeer[] {getter, spender}) {
            assertEquals(fixture == one ? 200 : 400, client.read().status());
          }
        }
        assertEquals(0, other.upstreams.get(0).pendingConnections());
      }
    }
  }

  /** Requests that arrive before the response to an earlier one. */
  @Nested
  class Pipelining {

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write(
            ProxyFixture.idempotentRequest("1", "10")
                + ProxyFixture.idempotentRequest("2", "10")
                + HEALTH_CHECK);
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        assertEquals("1", upstream.read().header("X-Txn"));
        upstream.write(ProxyFixture.okResponse("first"));
        // The next request is dispatched before the first upstream connection is idle again.
        assertEquals("first", client.read().body());
        HttpPeer second = fixture.upstreams.get(0).accept();
        assertEquals("2", second.read().header("X-Txn"));
        second.write(ProxyFixture.okResponse("second"));
        assertEquals("second", client.read().body());
        assertEquals(200, client.read().status());
      }
    }

    @Test
    void reportsProtocolViolationAfterResponseToEarlierRequest() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write(
            ProxyFixture.idempotentRequest("1", "10")
                + "POST /credit-spend HTTP/1.1\r\nExpect: 100-continue\r\n"
                + "Content-Length: 60000000\r\n\r\n");
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("first"));
        assertEquals("first", client.read().body());
        assertEquals(413, client.read().status());
        assertTrue(client.isClosedByPeer());
      }
    }

    @Test
    void rejectsTooManyPipelinedRequestsAndAbandonsTheOneInFlight() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.atMostOnceRequest("first", "x"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 300; i++) {
          requests.append(ProxyFixture.idempotentRequest("r" + i, "10"));
        }
        client.write(requests.toString());
        assertEquals(400, client.read().status());
        assertTrue(client.isClosedByPeer());
        assertEquals(1, ScriptedPolicy.takeNext(fixture.policy.disconnected));
        fixture.policy.onResult = outcome -> {};
        assertEquals(0, fixture.upstreams.get(0).pendingConnections());
      }
    }

    @Test
    void deadlineRunsWhilePipelinedRequestWaits() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write(
            ProxyFixture.idempotentRequest("1", "10")
                + ProxyFixture.idempotentRequest("2", "0.001"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        awaitInputRead(fixture);
        LinkedBlockingQueue<Double> deadlines = new LinkedBlockingQueue<>();
        fixture.policy.onRequest =
            request -> {
              deadlines.add(request.deadlineMillis());
              fixture.policy.sendTo(0, request, 0);
            };
        double answered = fixture.server.now();
        upstream.write(ProxyFixture.okResponse("first"));
        assertTrue(ScriptedPolicy.takeNext(deadlines) < answered + 1);
        assertEquals("first", client.read().body());
        // Its deadline was over before its turn; it is answered all the same.
        assertEquals(502, client.read().status());
        assertEquals(0, fixture.upstreams.get(0).pendingConnections());
      }
    }
  }

  /** Clients that are slow, idle or too many. */
  @Nested
  class TimeoutsAndLimits {

    @Test
    void closesSilentClientAndRejectsPartialRequest() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer silent = fixture.connectClient();
        HttpPeer[] slow = {
          fixture.connectClient(), fixture.connectClient(), fixture.connectClient()
        };
        slow[0].write("GET /look-up HT");
        slow[1].write("GET /look-up HTTP/1.1\r\n");
        slow[2].write("POST /credit-spend HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        awaitInputRead(fixture);
        checkTimeoutsAfter(fixture, 3_000);
        assertTrue(silent.isClosedByPeer());
        for (HttpPeer client : slow) {
          assertEquals(408, client.read().status());
          assertTrue(client.isClosedByPeer());
        }
        fixture.assertStillServes();
      }
    }

    @Test
    void closesIdleClientButNotOneWithRequestInFlight() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer idle = fixture.connectClient();
        idle.write(HEALTH_CHECK);
        idle.read();
        HttpPeer busy = fixture.connectClient();
        busy.write(HEALTH_CHECK);
        busy.read();
        // Unread in the kernel or in flight, the request must not be lost.
        busy.write(ProxyFixture.idempotentRequest("1", "10"));
        checkTimeoutsAfter(fixture, 9_000);
        assertTrue(idle.isClosedByPeer());
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("kept"));
        assertEquals("kept", busy.read().body());
      }
    }

    @Test
    void evictsIdleClientsForNewOnes() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture()) {
        fixture.maxDescriptors = 64 + 20;
        fixture.start();
        for (int i = 0; i < 200; i++) {
          // No client closes its connection.
          HttpPeer client = fixture.connectClient();
          client.write(HEALTH_CHECK);
          assertEquals(200, client.read().status());
        }
      }
    }

    @Test
    void acceptsNoClientBeyondDescriptorLimitWhenOthersDisconnect() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture()) {
        fixture.maxDescriptors = 64 + 5;
        fixture.start();
        AtomicInteger accepted = new AtomicInteger();
        fixture.policy.onRequest = request -> accepted.incrementAndGet();
        HttpPeer[] clients = new HttpPeer[80];
        for (int i = 0; i < clients.length; i++) {
          clients[i] = fixture.connectClient();
          clients[i].write(ProxyFixture.idempotentRequest("r" + i, "20"));
        }
        for (int i = 0; i < 10; i++) {
          checkTimeoutsAfter(fixture, 0);
        }
        int before = accepted.get();
        assertTrue(before >= 5 && before <= 5 + 16, before + " accepted");
        // Above the limit, no client is accepted for one that disconnects.
        for (int i = 0; i < before - 5; i++) {
          clients[i].close();
          ScriptedPolicy.takeNext(fixture.policy.disconnected);
          checkTimeoutsAfter(fixture, 0);
          checkTimeoutsAfter(fixture, 0);
        }
        assertEquals(before, accepted.get());
        clients[before - 1].close();
        ScriptedPolicy.takeNext(fixture.policy.disconnected);
        while (accepted.get() == before) {
          Thread.onSpinWait();
        }
      }
    }
  }

  /** A disconnected client's request is not forwarded, whatever lies unread before its end. */
  @Nested
  class ClientDisconnect {

    @Test
    void disconnectedClientMaySendItsRequestAgain() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer first = fixture.connectClient();
        first.write(ProxyFixture.idempotentRequest("same", "10"));
        fixture.upstreams.get(0).accept().read();
        first.close();
        HttpPeer second = fixture.connectClient();
        second.write(ProxyFixture.idempotentRequest("same", "10"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("second"));
        assertEquals("second", second.read().body());
      }
    }

    @Test
    void requestIdIsFreeIfDisconnectOfItsClientIsUnread() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer first = fixture.connectClient();
        first.write(ProxyFixture.idempotentRequest("same", "10"));
        fixture.upstreams.get(0).accept().read();
        HttpPeer second = fixture.connectClient();
        second.write(HEALTH_CHECK);
        second.read();
        runOnLoop(
            fixture,
            () -> {
              // The server finds both events at once and reads the older one first.
              second.write(ProxyFixture.idempotentRequest("same", "10"));
              first.close();
            });
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("second"));
        assertEquals("second", second.read().body());
      }
    }

    @Test
    void doesNotForwardRequestOfClientThatLeftBeforeAccept() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        runOnLoop(
            fixture,
            () -> {
              try (HttpPeer departing = HttpPeer.connect(fixture.server.address())) {
                departing.write(ProxyFixture.idempotentRequest("left", "10"));
              }
            });
        awaitInputRead(fixture);
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("stays", "10"));
        assertEquals("stays", fixture.upstreams.get(0).accept().read().header("X-Txn"));
      }
    }

    @ParameterizedTest
    @CsvSource({
      "'', true",
      "pipelined, false",
      "partial, false",
      "malformed, false",
      "malformed, true"
    })
    void doesNotForwardRequestOfClientThatSentMoreAndLeftBeforeAccept(String kind, boolean reset)
        throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        runOnLoop(
            fixture,
            () -> {
              HttpPeer departing = HttpPeer.connect(fixture.server.address());
              departing.write(ProxyFixture.idempotentRequest("left", "10") + furtherInput(kind));
              if (reset) {
                departing.reset();
              } else {
                departing.close();
              }
            });
        awaitInputRead(fixture);
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("stays", "10"));
        assertEquals("stays", fixture.upstreams.get(0).accept().read().header("X-Txn"));
      }
    }

    @Test
    void doesNotForwardRequestOfClientThatLeftOnKeepAliveConnection() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer departing = fixture.connectClient();
        departing.write(HEALTH_CHECK);
        departing.read();
        runOnLoop(
            fixture,
            () -> {
              departing.write(ProxyFixture.idempotentRequest("left", "10"));
              departing.close();
            });
        awaitInputRead(fixture);
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("stays", "10"));
        assertEquals("stays", fixture.upstreams.get(0).accept().read().header("X-Txn"));
      }
    }

    @ParameterizedTest
    @CsvSource({"1000, false", "1000, true", "5, false", "5, true", "0, false", "0, true"})
    void noticesDisconnectBehindUnreadInput(int kind, boolean reset) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        // The policy queues the request; the disconnect must end it before its deadline.
        AtomicReference<Double> deadline = new AtomicReference<>();
        fixture.policy.onRequest = request -> deadline.set(request.deadlineMillis());
        HttpPeer client = fixture.connectClient();
        client.write(
            ProxyFixture.atMostOnceRequest("waits", "x")
                .replace("X-Remaining: 10", "X-Remaining: 15"));
        if (kind == 0) {
          client.write("no request at all\r\n\r\n" + "x".repeat(6 * 1024 * 1024));
        } else {
          for (int i = 0; i < 5; i++) {
            client.write(ProxyFixture.atMostOnceRequest("pipelined" + i, "b".repeat(60 * kind)));
          }
        }
        awaitInputRead(fixture);
        if (reset) {
          client.reset();
        } else {
          client.close();
        }
        assertEquals(1, ScriptedPolicy.takeNext(fixture.policy.disconnected));
        assertTrue(fixture.server.now() < deadline.get());
      }
    }

    @ParameterizedTest
    @CsvSource({"'', false", "'', true", "pipelined, false", "partial, false", "malformed, false"})
    void doesNotSendAttemptIfDisconnectIsUnread(String kind, boolean reset) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        LinkedBlockingQueue<ClientRequest> queued = new LinkedBlockingQueue<>();
        fixture.policy.onRequest = queued::add;
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.atMostOnceRequest("waits", "x"));
        ClientRequest request = ScriptedPolicy.takeNext(queued);
        runOnLoop(
            fixture,
            () -> {
              client.write(furtherInput(kind));
              if (reset) {
                client.reset();
              } else {
                client.close();
              }
              // The policy selects an endpoint in the same iteration of the event loop.
              fixture.policy.sendTo(0, request, 0);
            });
        assertEquals(AttemptOutcome.NOT_SENT, fixture.policy.nextOutcome());
        assertEquals(1, ScriptedPolicy.takeNext(fixture.policy.disconnected));
        awaitInputRead(fixture);
        assertEquals(0, fixture.upstreams.get(0).pendingConnections());
        assertTrue(fixture.policy.disconnected.isEmpty());
      }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotSendRetryIfDisconnectIsUnread(boolean halfOnly) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture(2).start()) {
        HttpPeer client = fixture.connectClient();
        fixture.policy.onUnansweredResult =
            (actions, outcome) -> {
              try {
                if (halfOnly) {
                  // A half-closed connection counts as disconnected.
                  client.socket.shutdownOutput();
                } else {
                  client.close();
                }
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
              actions.sendAttempt(outcome.requestId(), fixture.policy.endpoints.get(1).id(), 0);
            };
        client.write(ProxyFixture.idempotentRequest("again", "10"));
        HttpPeer first = fixture.upstreams.get(0).accept();
        first.read();
        first.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
        assertEquals(AttemptOutcome.ERROR, fixture.policy.nextOutcome());
        assertEquals(AttemptOutcome.NOT_SENT, fixture.policy.nextOutcome());
        assertEquals(1, ScriptedPolicy.takeNext(fixture.policy.disconnected));
        awaitInputRead(fixture);
        assertEquals(0, fixture.upstreams.get(1).pendingConnections());
      }
    }

    @Test
    void reportsDisconnectOnceAndDropsLaterOutcomes() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.atMostOnceRequest("1", "x"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        client.close();
        assertEquals(1, ScriptedPolicy.takeNext(fixture.policy.disconnected));
        upstream.write(ProxyFixture.okResponse("nobody waits"));
        assertTrue(ScriptedPolicy.takeNext(fixture.policy.results).requestClosed());
        fixture.policy.onRequest = request -> fixture.policy.actions.failRequest(request.id());
        HttpPeer other = fixture.connectClient();
        other.write(ProxyFixture.idempotentRequest("2", "10"));
        other.read();
        assertTrue(fixture.policy.disconnected.isEmpty());
      }
    }
  }

  /** Each request has one response, in time. */
  @Nested
  class Responses {

    @Test
    void healthCheckSucceedsOnceListening() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write(HEALTH_CHECK);
        assertEquals(200, client.read().status());
      }
    }

    @Test
    void sends100ContinueIfExpected() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        String request =
            ProxyFixture.atMostOnceRequest("1", "body")
                .replace("Host:", "Expect: 100-continue\r\nHost:");
        client.write(request.substring(0, request.length() - 4));
        assertEquals(100, client.read().status());
        client.write("body");
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        HttpPeer.Message forwarded = upstream.read();
        assertEquals("body", forwarded.body());
        assertNull(forwarded.header("Expect"));
        upstream.write(ProxyFixture.okResponse("served"));
        assertEquals("served", client.read().body());
      }
    }

    @ParameterizedTest
    @CsvSource({"1,960", "0.2,180", "100,19960"})
    void deadlineLeavesTimeForResponse(String remaining, double atMost) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture()) {
        LinkedBlockingQueue<Double> remainingMillis = new LinkedBlockingQueue<>();
        fixture.policy.onRequest =
            request -> {
              remainingMillis.add(request.deadlineMillis() - fixture.server.now());
              fixture.policy.actions.reject(request.id(), 0);
            };
        fixture.start();
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", remaining));
        assertEquals(503, client.read().status());
        double millis = ScriptedPolicy.takeNext(remainingMillis);
        assertTrue(millis <= atMost, millis + " ms");
      }
    }

    @Test
    void clientThatStillSendsReceivesItsResponse() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write("no request at all\r\n\r\n");
        // Guards against a reset that loses the response while the client still sends.
        client.write("x".repeat(200_000));
        assertEquals(400, client.read().status());
        client.socket.shutdownOutput();
        assertTrue(client.isClosedByPeer());
      }
    }

    @Test
    void rejectionHasRetryAfterAndFailureHasNone() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        fixture.policy.onRequest = request -> fixture.policy.actions.reject(request.id(), 250);
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", "10"));
        HttpPeer.Message rejected = client.read();
        assertEquals(503, rejected.status());
        assertEquals("0.250", rejected.header("Retry-After"));
        fixture.policy.onRequest = request -> fixture.policy.actions.reject(request.id(), 0);
        client.write(ProxyFixture.idempotentRequest("2", "10"));
        assertNull(client.read().header("Retry-After"));
        fixture.policy.onRequest = request -> fixture.policy.actions.failRequest(request.id());
        client.write(ProxyFixture.idempotentRequest("3", "10"));
        assertEquals(502, client.read().status());
      }
    }

    @Test
    void respondsOnce() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        fixture.policy.onRequest =
            request -> {
              fixture.policy.actions.failRequest(request.id());
              fixture.policy.actions.reject(request.id(), 0);
              fixture.policy.actions.failRequest(request.id());
            };
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", "10"));
        assertEquals(502, client.read().status());
        client.write(HEALTH_CHECK);
        assertEquals(200, client.read().status());
      }
    }
  }

  /** Mistakes of the policy, which must not affect other requests. */
  @Nested
  class PolicyErrors {

    @ParameterizedTest
    @CsvSource({"request", "outcome", "timer"})
    void exceptionInPolicyFailsThatRequestOnly(String where) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        ScriptedPolicy script = fixture.policy;
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
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.atMostOnceRequest("1", "x"));
        if (where.equals("outcome")) {
          HttpPeer upstream = fixture.upstreams.get(0).accept();
          upstream.read();
          upstream.close();
        }
        assertEquals(500, client.read().status());
        assertEquals(1, ScriptedPolicy.takeNext(script.disconnected));
        script.onRequest = request -> script.sendTo(0, request, 0);
        script.onUnansweredResult = (actions, outcome) -> {};
        fixture.assertStillServes();
      }
    }

    @Test
    void requestThatPolicyForgetsFailsSoonAfterDeadline() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        fixture.policy.onRequest = request -> {};
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", "0.1"));
        assertEquals(504, client.read().status());
        assertEquals(1, ScriptedPolicy.takeNext(fixture.policy.disconnected));
      }
    }

    @Test
    void eventCausedByActionWaitsForPolicyToReturn() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        boolean[] inside = new boolean[1];
        boolean[] nested = new boolean[1];
        fixture.policy.onResult = outcome -> nested[0] |= inside[0];
        fixture.policy.onRequest =
            request -> {
              inside[0] = true;
              // No such endpoint: the attempt ends before the action returns.
              fixture.policy.actions.sendAttempt(request.id(), 12_345, 0);
              inside[0] = false;
            };
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", "10"));
        assertEquals(502, client.read().status());
        assertFalse(nested[0]);
      }
    }

    @Test
    void doesNotSendAttemptOverLimit() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        fixture.upstreams.get(0).close();
        fixture.policy.onUnansweredResult =
            (actions, outcome) -> {
              if (outcome.outcome() == AttemptOutcome.NOT_SENT) {
                actions.reject(outcome.requestId(), 0);
              } else {
                actions.sendAttempt(outcome.requestId(), outcome.endpointId(), 0);
              }
            };
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", "10"));
        assertEquals(503, client.read().status());
        assertEquals(5, fixture.policy.results.size());
      }
    }
  }
}
