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

/** Client connections: each request gets one response, whatever the client or the policy does. */
@Timeout(60)
class FrontendTest {

  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  /** Checks the timeouts of all connections as if that much time had passed. */
  private static void checkTimeoutsAfter(ProxyFixture fixture, double millis) throws Exception {
    fixture.server.onLoop(
        (frontend, upstreams) -> {
          frontend.checkTimeouts(fixture.server.now() + millis);
          return null;
        });
  }

  /** Returns once the server has read all that clients sent before this call. */
  private static void awaitInputRead(ProxyFixture fixture) throws Exception {
    HttpPeer laterClient = fixture.connectClient();
    laterClient.write(HEALTH_CHECK);
    laterClient.read();
    laterClient.close();
  }

  private interface IoTask {
    void run() throws IOException;
  }

  /** Runs a task on the event loop, which reads nothing that the task sends before it returns. */
  private static void runOnLoop(ProxyFixture fixture, IoTask task) throws Exception {
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
  private static String furtherInput(String inputKind) {
    return switch (inputKind) {
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
              + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n100000000\r\n\r\n",
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
        HttpPeer firstClient = fixture.connectClient();
        firstClient.write(ProxyFixture.atMostOnceRequest("same", "x"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        HttpPeer secondClient = fixture.connectClient();
        secondClient.write(ProxyFixture.atMostOnceRequest("same", "x"));
        assertEquals(409, secondClient.read().status());
        assertTrue(secondClient.isClosedByPeer());
        upstream.write(ProxyFixture.okResponse("first"));
        assertEquals("first", firstClient.read().body());
        // The request ID may be used again.
        firstClient.write(ProxyFixture.idempotentRequest("same", "10"));
        assertEquals("same", upstream.read().header("X-Txn"));
      }
    }

    @Test
    void twoServersInOneProcessKeepTheirSettingsApart() throws Exception {
      try (ProxyFixture firstServer = new ProxyFixture();
          ProxyFixture otherServer = new ProxyFixture()) {
        // Guards against static state: the same class is idempotent in one server only.
        otherServer.configEdit =
            config ->
                config
                    .replace("look-up", "\0")
                    .replace("credit-spend", "look-up")
                    .replace("\0", "credit-spend");
        firstServer.start();
        otherServer.start();
        for (ProxyFixture fixture : new ProxyFixture[] {otherServer, firstServer, otherServer}) {
          HttpPeer idempotentClient = fixture.connectClient();
          idempotentClient.write(ProxyFixture.idempotentRequest("g", "10"));
          HttpPeer atMostOnceClient = fixture.connectClient();
          atMostOnceClient.write(ProxyFixture.atMostOnceRequest("s", "x"));
          // Both are forwarded before one is answered, or both could use one upstream connection.
          List<HttpPeer> upstreamPeers = new ArrayList<>();
          for (int i = 0; fixture == firstServer && i < 2; i++) {
            upstreamPeers.add(fixture.upstreams.get(0).accept());
            upstreamPeers.get(i).read();
          }
          for (HttpPeer upstream : upstreamPeers) {
            upstream.write(ProxyFixture.okResponse("served"));
          }
          for (HttpPeer client : new HttpPeer[] {idempotentClient, atMostOnceClient}) {
            assertEquals(fixture == firstServer ? 200 : 400, client.read().status());
          }
        }
        assertEquals(0, otherServer.upstreams.get(0).pendingConnections());
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
        // The next request is forwarded before the first upstream connection is idle again.
        assertEquals("first", client.read().body());
        HttpPeer secondUpstream = fixture.upstreams.get(0).accept();
        assertEquals("2", secondUpstream.read().header("X-Txn"));
        secondUpstream.write(ProxyFixture.okResponse("second"));
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
        double answeredAtMillis = fixture.server.now();
        upstream.write(ProxyFixture.okResponse("first"));
        assertTrue(ScriptedPolicy.takeNext(deadlines) < answeredAtMillis + 1);
        assertEquals("first", client.read().body());
        // The deadline of the second request passed while it waited; it still gets a response.
        assertEquals(502, client.read().status());
        assertEquals(0, fixture.upstreams.get(0).pendingConnections());
      }
    }
  }

  /** Clients that are slow or idle, or more than there are descriptors for. */
  @Nested
  class TimeoutsAndLimits {

    @Test
    void closesSilentClientAndRejectsPartialRequest() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer silentClient = fixture.connectClient();
        HttpPeer[] partialClients = {
          fixture.connectClient(), fixture.connectClient(), fixture.connectClient()
        };
        partialClients[0].write("GET /look-up HT");
        partialClients[1].write("GET /look-up HTTP/1.1\r\n");
        partialClients[2].write("POST /credit-spend HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        awaitInputRead(fixture);
        checkTimeoutsAfter(fixture, 3_000);
        assertTrue(silentClient.isClosedByPeer());
        for (HttpPeer client : partialClients) {
          assertEquals(408, client.read().status());
          assertTrue(client.isClosedByPeer());
        }
        fixture.assertStillServes();
      }
    }

    @Test
    void closesIdleClientButNotOneWithRequestInFlight() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer idleClient = fixture.connectClient();
        idleClient.write(HEALTH_CHECK);
        idleClient.read();
        HttpPeer busyClient = fixture.connectClient();
        busyClient.write(HEALTH_CHECK);
        busyClient.read();
        // The request must not be lost, whether it is still unread in the kernel or in flight.
        busyClient.write(ProxyFixture.idempotentRequest("1", "10"));
        checkTimeoutsAfter(fixture, 9_000);
        assertTrue(idleClient.isClosedByPeer());
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("kept"));
        assertEquals("kept", busyClient.read().body());
      }
    }

    @Test
    void evictsIdleClientsForNewOnes() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture()) {
        fixture.maxDescriptors = 64 + 20;
        fixture.start();
        for (int i = 0; i < 200; i++) {
          // The clients leave their connections open.
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
        int acceptedAtFirst = accepted.get();
        assertTrue(
            acceptedAtFirst >= 5 && acceptedAtFirst <= 5 + 16,
            acceptedAtFirst + " clients accepted");
        // The last batch exceeded the limit: no client is accepted before enough have disconnected.
        for (int i = 0; i < acceptedAtFirst - 5; i++) {
          clients[i].close();
          ScriptedPolicy.takeNext(fixture.policy.disconnected);
          checkTimeoutsAfter(fixture, 0);
          checkTimeoutsAfter(fixture, 0);
        }
        assertEquals(acceptedAtFirst, accepted.get());
        clients[acceptedAtFirst - 1].close();
        ScriptedPolicy.takeNext(fixture.policy.disconnected);
        while (accepted.get() == acceptedAtFirst) {
          Thread.onSpinWait();
        }
      }
    }
  }

  /**
   * A disconnected client's request is not forwarded, even if the disconnect is still unread and
   * follows other unread input.
   */
  @Nested
  class ClientDisconnect {

    @Test
    void disconnectedClientMaySendItsRequestAgain() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer firstClient = fixture.connectClient();
        firstClient.write(ProxyFixture.idempotentRequest("same", "10"));
        fixture.upstreams.get(0).accept().read();
        firstClient.close();
        HttpPeer secondClient = fixture.connectClient();
        secondClient.write(ProxyFixture.idempotentRequest("same", "10"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("second"));
        assertEquals("second", secondClient.read().body());
      }
    }

    @Test
    void requestIdIsFreeIfDisconnectOfItsClientIsUnread() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer firstClient = fixture.connectClient();
        firstClient.write(ProxyFixture.idempotentRequest("same", "10"));
        fixture.upstreams.get(0).accept().read();
        HttpPeer secondClient = fixture.connectClient();
        secondClient.write(HEALTH_CHECK);
        secondClient.read();
        runOnLoop(
            fixture,
            () -> {
              // Both are unread when this returns. The request came first, so the server reads it
              // before the disconnect.
              secondClient.write(ProxyFixture.idempotentRequest("same", "10"));
              firstClient.close();
            });
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("second"));
        assertEquals("second", secondClient.read().body());
      }
    }

    @Test
    void doesNotForwardRequestOfClientThatDisconnectedBeforeAccept() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        runOnLoop(
            fixture,
            () -> {
              try (HttpPeer departingClient = HttpPeer.connect(fixture.server.address())) {
                departingClient.write(ProxyFixture.idempotentRequest("left", "10"));
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
    void doesNotForwardRequestOfClientThatSentMoreAndDisconnectedBeforeAccept(
        String inputKind, boolean reset) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        runOnLoop(
            fixture,
            () -> {
              HttpPeer departingClient = HttpPeer.connect(fixture.server.address());
              departingClient.write(
                  ProxyFixture.idempotentRequest("left", "10") + furtherInput(inputKind));
              if (reset) {
                departingClient.reset();
              } else {
                departingClient.close();
              }
            });
        awaitInputRead(fixture);
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("stays", "10"));
        assertEquals("stays", fixture.upstreams.get(0).accept().read().header("X-Txn"));
      }
    }

    @Test
    void doesNotForwardRequestOfClientThatDisconnectedOnKeepAliveConnection() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer departingClient = fixture.connectClient();
        departingClient.write(HEALTH_CHECK);
        departingClient.read();
        runOnLoop(
            fixture,
            () -> {
              departingClient.write(ProxyFixture.idempotentRequest("left", "10"));
              departingClient.close();
            });
        awaitInputRead(fixture);
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("stays", "10"));
        assertEquals("stays", fixture.upstreams.get(0).accept().read().header("X-Txn"));
      }
    }

    @ParameterizedTest
    @CsvSource({"1000, false", "1000, true", "5, false", "5, true", "0, false", "0, true"})
    void noticesDisconnectBehindUnreadInput(int bodySizeFactor, boolean reset) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        // The policy queues the request; the disconnect must be noticed before its deadline.
        AtomicReference<Double> deadline = new AtomicReference<>();
        fixture.policy.onRequest = request -> deadline.set(request.deadlineMillis());
        HttpPeer client = fixture.connectClient();
        client.write(
            ProxyFixture.atMostOnceRequest("waits", "x")
                .replace("X-Remaining: 10", "X-Remaining: 15"));
        if (bodySizeFactor == 0) {
          // Malformed input in place of pipelined requests.
          client.write("no request at all\r\n\r\n" + "x".repeat(6 * 1024 * 1024));
        } else {
          for (int i = 0; i < 5; i++) {
            client.write(
                ProxyFixture.atMostOnceRequest("pipelined" + i, "b".repeat(60 * bodySizeFactor)));
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
    void doesNotSendAttemptIfDisconnectIsUnread(String inputKind, boolean reset) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        LinkedBlockingQueue<ClientRequest> queued = new LinkedBlockingQueue<>();
        fixture.policy.onRequest = queued::add;
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.atMostOnceRequest("waits", "x"));
        ClientRequest request = ScriptedPolicy.takeNext(queued);
        runOnLoop(
            fixture,
            () -> {
              client.write(furtherInput(inputKind));
              if (reset) {
                client.reset();
              } else {
                client.close();
              }
              // The policy sends the attempt before the event loop reads the disconnect.
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
    void doesNotSendRetryIfDisconnectIsUnread(boolean halfClose) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture(2).start()) {
        HttpPeer client = fixture.connectClient();
        fixture.policy.onUnansweredResult =
            (actions, outcome) -> {
              try {
                if (halfClose) {
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
        HttpPeer firstUpstream = fixture.upstreams.get(0).accept();
        firstUpstream.read();
        firstUpstream.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
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

  /** Each request gets one response, in time. */
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
    void deadlineLeavesTimeForResponse(String remainingSeconds, double maxMillisLeft)
        throws Exception {
      try (ProxyFixture fixture = new ProxyFixture()) {
        LinkedBlockingQueue<Double> remainingMillis = new LinkedBlockingQueue<>();
        fixture.policy.onRequest =
            request -> {
              remainingMillis.add(request.deadlineMillis() - fixture.server.now());
              fixture.policy.actions.reject(request.id(), 0);
            };
        fixture.start();
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", remainingSeconds));
        assertEquals(503, client.read().status());
        double millisLeft = ScriptedPolicy.takeNext(remainingMillis);
        assertTrue(millisLeft <= maxMillisLeft, millisLeft + " ms left for the policy");
      }
    }

    @Test
    void clientThatStillSendsReceivesItsResponse() throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        HttpPeer client = fixture.connectClient();
        client.write("no request at all\r\n\r\n");
        // Guards against a TCP reset that makes a client lose the response while it still sends.
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

  /** Errors of the policy, which must not affect other requests. */
  @Nested
  class PolicyErrors {

    @ParameterizedTest
    @CsvSource({"request", "outcome", "timer"})
    void exceptionInPolicyFailsThatRequestOnly(String failingEvent) throws Exception {
      try (ProxyFixture fixture = new ProxyFixture().start()) {
        ScriptedPolicy script = fixture.policy;
        Runnable throwException =
            () -> {
              throw new IllegalStateException("thrown by a test");
            };
        if (failingEvent.equals("request")) {
          script.onRequest = request -> throwException.run();
        } else if (failingEvent.equals("outcome")) {
          script.onUnansweredResult = (actions, outcome) -> throwException.run();
        } else {
          script.onRequest = request -> script.actions.scheduleTimer(7, 0);
          script.onTimer = throwException;
        }
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.atMostOnceRequest("1", "x"));
        if (failingEvent.equals("outcome")) {
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
    void requestThatPolicyLeavesWithoutResponseFailsSoonAfterDeadline() throws Exception {
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
        boolean[] handlingRequest = new boolean[1];
        boolean[] resultWhileHandling = new boolean[1];
        fixture.policy.onResult = outcome -> resultWhileHandling[0] |= handlingRequest[0];
        fixture.policy.onRequest =
            request -> {
              handlingRequest[0] = true;
              // No endpoint has this id, so the attempt ends before the action returns.
              fixture.policy.actions.sendAttempt(request.id(), 12_345, 0);
              handlingRequest[0] = false;
            };
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", "10"));
        assertEquals(502, client.read().status());
        assertFalse(resultWhileHandling[0]);
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
