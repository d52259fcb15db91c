package loadbalancer.proxy.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.eventloop.ClientEvictor.Eviction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections without a complete request are closed for others or after a timeout. */
@Timeout(60)
class ClientEvictionTest {

  private static final int MAX_CONNECTIONS = 20;

  private static ProxyFixture startWithFewDescriptors() throws Exception {
    ProxyFixture fixture = new ProxyFixture();
    fixture.maxDescriptors = 64 + MAX_CONNECTIONS;
    return fixture.start();
  }

  /** Connects clients that send the first bytes of a request and stay. */
  private static List<HttpPeer> connectPartialClients(ProxyFixture fixture, int count)
      throws IOException {
    List<HttpPeer> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      HttpPeer client = fixture.connectClient();
      client.write("GET /look-up HT");
      clients.add(client);
    }
    return clients;
  }

  private static void checkHealth(HttpPeer client) throws IOException {
    client.write("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    assertEquals(200, client.read().status());
  }

  /**
   * Guards against the failure of review/3: clients that stop inside a request filled the
   * connections, and new clients waited in the backlog until those had timed out.
   */
  @Test
  void oldestPartialRequestIsRejectedForNewClient() throws Exception {
    try (ProxyFixture fixture = startWithFewDescriptors()) {
      List<HttpPeer> partialClients = connectPartialClients(fixture, 3 * MAX_CONNECTIONS);
      fixture.assertStillServes();
      // After its timeout it would have been 408.
      HttpPeer.Message rejection = partialClients.get(0).read();
      assertEquals(503, rejection.status());
      assertEquals("no connection left for the request\n", rejection.body());
      assertTrue(partialClients.get(0).isClosedByPeer());
      assertEquals(0, partialClients.get(partialClients.size() - 1).unreadBytes());
    }
  }

  /** Guards against the loss of a request whose last bytes are unread when room is needed. */
  @Test
  void requestThatUnreadBytesCompleteIsServedAndNextOldestConnectionGivesWay() throws Exception {
    try (ProxyFixture fixture = startWithFewDescriptors()) {
      String request = ProxyFixture.idempotentRequest("1", "10");
      HttpPeer client = fixture.connectClient();
      client.write(request.substring(0, request.length() - 1));
      HttpPeer nextClient = fixture.connectClient();
      checkHealth(nextClient);
      Eviction eviction =
          fixture.server.onLoop(
              (frontend, upstreams) -> {
                writeUnchecked(client, request.substring(request.length() - 1));
                return frontend.evictor().evictInactive(fixture.server.now());
              });
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      assertEquals("1", upstream.read().header("X-Txn"));
      upstream.write(ProxyFixture.okResponse("complete"));
      assertEquals("complete", client.read().body());
      assertEquals(Eviction.IDLE, eviction);
      assertTrue(nextClient.isClosedByPeer());
    }
  }

  /** Guards against the rejection of slow writers for clients that have stopped. */
  @Test
  void clientThatStillWritesOutlastsOnesThatHaveStopped() throws Exception {
    try (ProxyFixture fixture = startWithFewDescriptors()) {
      String request = ProxyFixture.idempotentRequest("1", "10");
      HttpPeer slowClient = fixture.connectClient();
      for (int i = 0; i < request.length() - 1; i++) {
        slowClient.write(request.substring(i, i + 1));
        connectPartialClients(fixture, 1);
        checkHealth(fixture.connectClient());
      }
      slowClient.write(request.substring(request.length() - 1));
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("patience"));
      assertEquals("patience", slowClient.read().body());
    }
  }

  /** Guards against a 408 for a request whose last bytes are unread when its timeout is checked. */
  @Test
  void requestThatUnreadBytesCompleteIsServedAfterItsTimeout() throws Exception {
    try (ProxyFixture fixture = startWithFewDescriptors()) {
      String request = ProxyFixture.idempotentRequest("1", "10");
      HttpPeer client = fixture.connectClient();
      client.write(request.substring(0, request.length() - 1));
      checkHealth(fixture.connectClient());
      fixture.server.onLoop(
          (frontend, upstreams) -> {
            writeUnchecked(client, request.substring(request.length() - 1));
            frontend.checkTimeouts(fixture.server.now() + 3_000);
            return null;
          });
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      assertEquals("1", upstream.read().header("X-Txn"));
      upstream.write(ProxyFixture.okResponse("complete"));
      assertEquals("complete", client.read().body());
    }
  }

  /** A request received in part behind one in flight must not take that one's response with it. */
  @Test
  void connectionWithRequestInFlightDoesNotGiveWay() throws Exception {
    try (ProxyFixture fixture = startWithFewDescriptors()) {
      HttpPeer client = fixture.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "10") + "GET /look-up HT");
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      upstream.read();
      connectPartialClients(fixture, 3 * MAX_CONNECTIONS);
      checkHealth(fixture.connectClient());
      upstream.write(ProxyFixture.okResponse("kept"));
      assertEquals("kept", client.read().body());
    }
  }

  private static void writeUnchecked(HttpPeer client, String text) {
    try {
      client.write(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
