package loadbalancer.proxy.upstream;

import static loadbalancer.proxy.upstream.UpstreamTestSupport.announceEndpoint;
import static loadbalancer.proxy.upstream.UpstreamTestSupport.awaitInputRead;
import static loadbalancer.proxy.upstream.UpstreamTestSupport.sendEndpointChange;
import static loadbalancer.proxy.upstream.UpstreamTestSupport.useOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.proxy.FullBacklogListener;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests attempts that wait for a new connection. */
@Timeout(60)
class UpstreamConnectTest {

  @Test
  void refusedConnectionIsConnectFailed() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      proxy.upstreams.get(0).close();
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      assertEquals(AttemptOutcome.CONNECT_FAILED, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @Test
  void connectTimeoutIsConnectFailed() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener fullListener = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 200;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      announceEndpoint(proxy, ProxyFixture.endpointEntry(9, fullListener.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      assertEquals(AttemptOutcome.CONNECT_FAILED, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @Test
  void lateConnectIsRetriedOnce() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener fullListener = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      // With this low median, as after many fast connects, the connect is retried after 10 ms.
      useOptions(
          proxy, options -> options.withInitialMedianConnectMillis(0.1).withReuseDelayMillis(0));
      announceEndpoint(proxy, ProxyFixture.endpointEntry(9, fullListener.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "9"));
      // Both connects are pending until the backlog has room.
      while (proxy.server.onLoop((frontend, upstreams) -> upstreams.pendingConnects()) < 2) {
        Thread.onSpinWait();
      }
      List<HttpPeer> acceptedConnections = new CopyOnWriteArrayList<>();
      Thread acceptThread = new Thread(() -> acceptAll(fullListener, acceptedConnections));
      acceptThread.start();
      // One connection carries the request. No request is written to the other one.
      HttpPeer usedConnection = null;
      while (usedConnection == null) {
        for (HttpPeer connection : acceptedConnections) {
          usedConnection = connection.unreadBytes() > 0 ? connection : usedConnection;
        }
      }
      usedConnection.read();
      usedConnection.write(ProxyFixture.okResponse("served"));
      assertEquals(200, client.read().status());
      assertEquals(AttemptOutcome.OK, proxy.policy.nextOutcome());
      while (proxy.server.onLoop((frontend, upstreams) -> upstreams.pendingConnects()) > 0) {
        Thread.onSpinWait();
      }
      for (HttpPeer connection : acceptedConnections) {
        assertEquals(0, connection.unreadBytes());
        connection.close();
      }
    }
  }

  private static void acceptAll(
      FullBacklogListener fullListener, List<HttpPeer> acceptedConnections) {
    try {
      while (true) {
        acceptedConnections.add(fullListener.acceptAfterBacklog());
      }
    } catch (Exception e) {
      // The listening socket was closed.
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {50, 1_800})
  void doesNotWriteToADrainingEndpointAfterTheWriteGrace(int drainGraceMillis) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener fullListener = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      // Requests are written to a draining endpoint only in the first half of its drain grace.
      proxy.drainGraceMillis = drainGraceMillis;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      HttpPeer watch =
          announceEndpoint(proxy, ProxyFixture.endpointEntry(9, fullListener.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      awaitInputRead(proxy);
      sendEndpointChange(
          proxy, watch, 43, ProxyFixture.endpointEntry(9, fullListener.address(), "draining"));
      // The kernel repeats the handshake only after a second, when that half has passed.
      try (HttpPeer lateConnection = fullListener.acceptAfterBacklog()) {
        assertTrue(
            lateConnection.isClosedByPeer(),
            "the request was written after half the drain grace, or the connection was left open");
      }
      assertEquals(AttemptOutcome.CONNECT_FAILED, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void doesNotWriteOnceTheClientHasDisconnected(boolean reset) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener fullListener = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      announceEndpoint(proxy, ProxyFixture.endpointEntry(9, fullListener.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      awaitInputRead(proxy);
      if (reset) {
        client.reset();
      } else {
        client.close();
      }
      // The connect is still pending. The proxy ends the attempt without an action of the policy.
      assertEquals(AttemptOutcome.NOT_SENT, proxy.policy.nextOutcome());
      assertEquals(1, ScriptedPolicy.takeNext(proxy.policy.disconnected));
    }
  }

  @Test
  void doesNotWriteWhileTheClientsDisconnectIsUnread() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener fullListener = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      announceEndpoint(proxy, ProxyFixture.endpointEntry(9, fullListener.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      awaitInputRead(proxy);
      HttpPeer lateConnection =
          proxy.server.onLoop(
              (frontend, upstreams) -> {
                try {
                  // Both happen while the event loop is blocked here. It continues with the new
                  // connection and reads the client's disconnect after that.
                  HttpPeer accepted = fullListener.acceptAfterBacklog();
                  client.close();
                  return accepted;
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      try (lateConnection) {
        assertTrue(
            lateConnection.isClosedByPeer(),
            "the request was written after the disconnect, or the connection was left open");
      }
      assertEquals(AttemptOutcome.NOT_SENT, proxy.policy.nextOutcome());
      assertEquals(1, ScriptedPolicy.takeNext(proxy.policy.disconnected));
    }
  }

  @Test
  void doesNotWriteToAFormerAddressOfTheEndpoint() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener fullListener = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      HttpPeer watch =
          announceEndpoint(proxy, ProxyFixture.endpointEntry(9, fullListener.address(), "up"));
      proxy.connectClient().write(ProxyFixture.atMostOnceRequest("1", "x"));
      awaitInputRead(proxy);
      // The endpoint drains, and then the same ID is listed as ready at another address.
      sendEndpointChange(
          proxy, watch, 43, ProxyFixture.endpointEntry(9, fullListener.address(), "draining"));
      sendEndpointChange(
          proxy, watch, 44, ProxyFixture.endpointEntry(9, proxy.upstreams.get(0).address(), "up"));
      try (HttpPeer lateConnection = fullListener.acceptAfterBacklog()) {
        assertTrue(
            lateConnection.isClosedByPeer(),
            "the request was written to the old address, or the connection was left open");
      }
      assertEquals(AttemptOutcome.CONNECT_FAILED, proxy.policy.nextOutcome());
      proxy.assertStillServes();
    }
  }
}
