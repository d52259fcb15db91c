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

/** Attempts that wait for a new connection. */
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
        FullBacklogListener full = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 200;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      announceEndpoint(proxy, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      assertEquals(AttemptOutcome.CONNECT_FAILED, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @Test
  void lateConnectIsRetriedOnce() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      // As after many fast connects: the first connect is retried after 10 ms.
      useOptions(
          proxy, options -> options.withInitialMedianConnectMillis(0.1).withReuseDelayMillis(0));
      announceEndpoint(proxy, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "9"));
      // Both connects are pending until the backlog has room.
      while (proxy.server.onLoop((frontend, upstreams) -> upstreams.pendingConnects()) < 2) {
        Thread.onSpinWait();
      }
      List<HttpPeer> accepted = new CopyOnWriteArrayList<>();
      Thread accepting = new Thread(() -> acceptAll(full, accepted));
      accepting.start();
      // The connection that is established first carries the request, the other one nothing.
      HttpPeer carrier = null;
      while (carrier == null) {
        for (HttpPeer peer : accepted) {
          carrier = peer.unreadBytes() > 0 ? peer : carrier;
        }
      }
      carrier.read();
      carrier.write(ProxyFixture.okResponse("served"));
      assertEquals(200, client.read().status());
      assertEquals(AttemptOutcome.OK, proxy.policy.nextOutcome());
      while (proxy.server.onLoop((frontend, upstreams) -> upstreams.pendingConnects()) > 0) {
        Thread.onSpinWait();
      }
      for (HttpPeer peer : accepted) {
        assertEquals(0, peer.unreadBytes());
        peer.close();
      }
    }
  }

  private static void acceptAll(FullBacklogListener full, List<HttpPeer> accepted) {
    try {
      while (true) {
        accepted.add(full.acceptAfterBacklog());
      }
    } catch (Exception e) {
      // The listening socket was closed.
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {50, 1_800})
  void doesNotWriteToADrainingEndpointAfterTheWriteGrace(int grace) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      // Half of the grace is left for the notification's delay.
      proxy.drainGraceMillis = grace;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      HttpPeer watch = announceEndpoint(proxy, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      awaitInputRead(proxy);
      sendEndpointChange(
          proxy, watch, 43, ProxyFixture.endpointEntry(9, full.address(), "draining"));
      // The kernel retries the handshake only after a second, when the write grace has passed.
      try (HttpPeer late = full.acceptAfterBacklog()) {
        assertTrue(late.isClosedByPeer(), "the request was written after the grace");
      }
      assertEquals(AttemptOutcome.CONNECT_FAILED, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void doesNotWriteOnceTheClientHasDisconnected(boolean reset) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      announceEndpoint(proxy, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      awaitInputRead(proxy);
      if (reset) {
        client.reset();
      } else {
        client.close();
      }
      // The policy cancels nothing; the connect is still pending.
      assertEquals(AttemptOutcome.NOT_SENT, proxy.policy.nextOutcome());
      assertEquals(1, ScriptedPolicy.takeNext(proxy.policy.disconnected));
    }
  }

  @Test
  void doesNotWriteWhileTheClientsDisconnectIsUnread() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      announceEndpoint(proxy, ProxyFixture.endpointEntry(9, full.address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      awaitInputRead(proxy);
      HttpPeer late =
          proxy.server.onLoop(
              (frontend, upstreams) -> {
                try {
                  // The event loop sees both only afterwards, the connection first.
                  HttpPeer up = full.acceptAfterBacklog();
                  client.close();
                  return up;
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              });
      try (late) {
        assertTrue(late.isClosedByPeer(), "the request was written for nobody");
      }
      assertEquals(AttemptOutcome.NOT_SENT, proxy.policy.nextOutcome());
      assertEquals(1, ScriptedPolicy.takeNext(proxy.policy.disconnected));
    }
  }

  @Test
  void doesNotWriteToAFormerAddressOfTheEndpoint() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      proxy.connectTimeoutMillis = 15_000;
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      HttpPeer watch = announceEndpoint(proxy, ProxyFixture.endpointEntry(9, full.address(), "up"));
      proxy.connectClient().write(ProxyFixture.atMostOnceRequest("1", "x"));
      awaitInputRead(proxy);
      // The endpoint drains and returns under its id at another address.
      sendEndpointChange(
          proxy, watch, 43, ProxyFixture.endpointEntry(9, full.address(), "draining"));
      sendEndpointChange(
          proxy, watch, 44, ProxyFixture.endpointEntry(9, proxy.upstreams.get(0).address(), "up"));
      try (HttpPeer late = full.acceptAfterBacklog()) {
        assertTrue(late.isClosedByPeer(), "the request was written to the old address");
      }
      assertEquals(AttemptOutcome.CONNECT_FAILED, proxy.policy.nextOutcome());
      proxy.assertStillServes();
    }
  }
}
