package loadbalancer.proxy.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a client that doesn't read its responses gets no further ones. */
@Timeout(60)
class UnreadResponseTest {

  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";
  private static final String BODY = "b".repeat(ProtocolHeaders.MAX_BODY_BYTES);

  /** More responses than the kernel buffers for a connection. */
  private static final int MAX_UNREAD_RESPONSES = 400;

  private static final double WRITE_TIMEOUT_MILLIS = 10_000;

  private final AtomicInteger dispatchedRequests = new AtomicInteger();
  private ProxyFixture proxy;
  private HttpPeer client;

  @BeforeEach
  void startProxy() throws Exception {
    proxy = new ProxyFixture().start();
    proxy.policy.onRequest =
        request -> {
          dispatchedRequests.incrementAndGet();
          proxy.policy.sendTo(0, request, 0);
        };
    client = proxy.connectClient();
  }

  @AfterEach
  void stopProxy() throws Exception {
    proxy.close();
  }

  /** Returns once the proxy has read what was sent to it before it accepts a new client. */
  private void awaitInputRead() throws IOException {
    try (HttpPeer newClient = HttpPeer.connect(proxy.server.address())) {
      newClient.write(HEALTH_CHECK);
      assertEquals(200, newClient.read().status());
    }
  }

  /** Answers the request that is in flight on a new connection. */
  private void answer(String body) throws Exception {
    HttpPeer upstream = proxy.upstreams.get(0).accept();
    upstream.read();
    upstream.write(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
    assertTrue(upstream.isClosedByPeer());
  }

  /**
   * Sends requests and reads no response, until one is not dispatched; returns the number of those
   * that were. All but the last of them have been written completely.
   */
  private int sendUntilNoneIsDispatched() throws Exception {
    for (int sent = 1; sent <= MAX_UNREAD_RESPONSES; sent++) {
      client.write(ProxyFixture.idempotentRequest("r" + sent, "20"));
      awaitInputRead();
      if (dispatchedRequests.get() < sent) {
        return dispatchedRequests.get();
      }
      answer(BODY);
    }
    throw new AssertionError("requests are dispatched though no response has been read");
  }

  /**
   * Guards against the failure of review/6: requests of a client that reads no response were
   * answered, until the responses used up the heap.
   */
  @Test
  void requestIsDispatchedOnlyOnceTheResponseBeforeItIsWritten() throws Exception {
    int unread = sendUntilNoneIsDispatched();
    client.write(HEALTH_CHECK);
    awaitInputRead();
    for (int i = 0; i < unread; i++) {
      assertEquals(BODY, client.read().body());
    }
    answer("last");
    assertEquals("last", client.read().body());
    HttpPeer.Message health = client.read();
    assertEquals(200, health.status());
    assertEquals(unread + 1, dispatchedRequests.get());
  }

  @Test
  void connectionWithAnUnreadResponseIsClosedAfterTheWriteTimeout() throws Exception {
    int unread = sendUntilNoneIsDispatched();
    double now = proxy.server.now();
    proxy.server.onLoop(
        (frontend, upstreams) -> {
          frontend.checkTimeouts(now + WRITE_TIMEOUT_MILLIS + 1);
          return null;
        });
    assertFalse(readsWhole(unread));
    assertEquals(unread, dispatchedRequests.get());
  }

  /** Whether the client can read this many responses before the connection ends. */
  private boolean readsWhole(int responses) {
    try {
      for (int i = 0; i < responses; i++) {
        HttpPeer.Message response = client.read();
        if (response == null || !response.body().equals(BODY)) {
          return false;
        }
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  void malformedRequestIsRejectedAfterTheUnreadResponses() throws Exception {
    int unread = sendUntilNoneIsDispatched();
    client.write("no request at all\r\n\r\n");
    for (int i = 0; i < unread; i++) {
      assertEquals(BODY, client.read().body());
    }
    answer("last");
    assertEquals("last", client.read().body());
    assertEquals(400, client.read().status());
    assertTrue(client.isClosedByPeer());
  }

  @Test
  void clientThatLeavesWithUnreadResponsesIsClosed() throws Exception {
    sendUntilNoneIsDispatched();
    client.reset();
    awaitInputRead();
    proxy.server.onLoop(
        (frontend, upstreams) -> {
          assertEquals(0, frontend.memoryBudgets().bodies().reservedBytes());
          return null;
        });
    proxy.assertStillServes();
  }
}
