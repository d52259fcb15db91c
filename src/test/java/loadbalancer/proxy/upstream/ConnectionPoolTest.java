package loadbalancer.proxy.upstream;

import static loadbalancer.proxy.upstream.UpstreamTestSupport.announceEndpoint;
import static loadbalancer.proxy.upstream.UpstreamTestSupport.awaitInputRead;
import static loadbalancer.proxy.upstream.UpstreamTestSupport.sendEndpointChange;
import static loadbalancer.proxy.upstream.UpstreamTestSupport.useOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When idle connections are reused, closed and evicted. */
@Timeout(60)
class ConnectionPoolTest {

  @Test
  void reusesAnOpenConnection() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      HttpPeer upstream = null;
      for (int i = 0; i < 3; i++) {
        client.write(ProxyFixture.idempotentRequest("r" + i, "10"));
        upstream = upstream == null ? proxy.upstreams.get(0).accept() : upstream;
        assertEquals("r" + i, upstream.read().header("X-Txn"));
        upstream.write(ProxyFixture.okResponse("a" + i));
        assertEquals("a" + i, client.read().body());
      }
      assertEquals(0, proxy.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void reusesAConnectionOnceTheReuseDelayHasPassed() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture()) {
      proxy.settleMillis = 1e9;
      proxy.start();
      HttpPeer client = proxy.connectClient();
      HttpPeer[] both = new HttpPeer[2];
      for (int i = 0; i < 2; i++) {
        client.write(ProxyFixture.idempotentRequest("r" + i, "10"));
        both[i] = proxy.upstreams.get(0).accept();
        both[i].read();
        both[i].write(ProxyFixture.okResponse("a" + i));
        assertEquals("a" + i, client.read().body());
      }
      useOptions(proxy, options -> options.withReuseDelayMillis(0));
      client.write(ProxyFixture.idempotentRequest("r2", "10"));
      assertEquals("r2", both[1].read().header("X-Txn"));
      assertEquals(0, proxy.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void nonRetryableRequestReusesAConnectionWhileNoneIsReset() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      treatNoConnectionAsFresh(proxy);
      HttpPeer client = proxy.connectClient();
      HttpPeer upstream = null;
      for (int i = 0; i < 3; i++) {
        client.write(ProxyFixture.atMostOnceRequest("s" + i, "x"));
        upstream = upstream == null ? proxy.upstreams.get(0).accept() : upstream;
        assertEquals("s" + i, upstream.read().header("X-Txn"));
        upstream.write(ProxyFixture.okResponse("a" + i));
        assertEquals("a" + i, client.read().body());
      }
      assertEquals(0, proxy.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void nonRetryableRequestGetsANewConnectionAfterAResetOnReuse() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      treatNoConnectionAsFresh(proxy);
      proxy.server.onLoop(
          (frontend, upstreams) -> {
            upstreams.pool().reuseLimit().recordReset(400);
            return null;
          });
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("s1", "x"));
      HttpPeer first = proxy.upstreams.get(0).accept();
      first.read();
      first.write(ProxyFixture.okResponse("a"));
      assertEquals("a", client.read().body());
      client.write(ProxyFixture.atMostOnceRequest("s2", "x"));
      HttpPeer second = proxy.upstreams.get(0).accept();
      assertEquals("s2", second.read().header("X-Txn"));
      // The new connection replaces the old one: guards against a growing pool.
      assertTrue(first.isClosedByPeer());
      second.write(ProxyFixture.okResponse("b"));
      assertEquals("b", client.read().body());
      client.write(ProxyFixture.idempotentRequest("g1", "10"));
      assertEquals("g1", second.read().header("X-Txn"));
      second.write(ProxyFixture.okResponse("c"));
      assertEquals("c", client.read().body());
    }
  }

  /** Makes every idle time too long for a connection to be fresh. */
  private static void treatNoConnectionAsFresh(ProxyFixture proxy) throws InterruptedException {
    useOptions(proxy, options -> options.withFreshIdleMillis(0));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void doesNotReuseAConnectionThatTheEndpointClosed(boolean abruptly) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("one"));
      client.read();
      if (abruptly) {
        upstream.reset();
      } else {
        upstream.close();
      }
      client.write(ProxyFixture.idempotentRequest("2", "10"));
      HttpPeer replacement = proxy.upstreams.get(0).accept();
      assertEquals("2", replacement.read().header("X-Txn"));
      replacement.write(ProxyFixture.okResponse("two"));
      assertEquals("two", client.read().body());
      assertEquals(AttemptOutcome.OK, proxy.policy.nextOutcome());
      assertEquals(AttemptOutcome.OK, proxy.policy.nextOutcome());
    }
  }

  @Test
  void doesNotReuseAConnectionToAFormerAddress() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(2)) {
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      HttpPeer watch =
          announceEndpoint(
              proxy, ProxyFixture.endpointEntry(9, proxy.upstreams.get(1).address(), "up"));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer old = proxy.upstreams.get(1).accept();
      old.read();
      sendEndpointChange(
          proxy, watch, 43, ProxyFixture.endpointEntry(9, proxy.upstreams.get(0).address(), "up"));
      old.write(ProxyFixture.okResponse("before"));
      assertEquals("before", client.read().body());
      assertTrue(old.isClosedByPeer());
      proxy.assertStillServes();
    }
  }

  @Test
  void forgetsAnEndpointThatDrainedAndWasRemoved() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture()) {
      proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
      proxy.start();
      HttpPeer watch = announceEndpoint(proxy, ProxyFixture.endpointEntry(9, "127.0.0.1:9", "up"));
      String[] states = {"draining", "removed"};
      for (int i = 0; i < states.length; i++) {
        sendEndpointChange(
            proxy, watch, 43 + i, ProxyFixture.endpointEntry(9, "127.0.0.1:9", states[i]));
      }
      int endpointCount =
          proxy.server.onLoop(
              (frontend, upstreams) -> {
                upstreams.pool().sweep(proxy.server.now() + 60_000);
                return upstreams.pool().endpointCount();
              });
      assertEquals(0, endpointCount);
    }
  }

  @Test
  void shortageOfDescriptorsIsNotSent() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture()) {
      proxy.maxDescriptors = 64 + 5;
      proxy.start();
      proxy.policy.onRequest = request -> {};
      for (int i = 0; i < 4; i++) {
        proxy.connectClient().write(ProxyFixture.idempotentRequest("r" + i, "20"));
      }
      awaitInputRead(proxy);
      proxy.policy.onRequest = request -> proxy.policy.sendTo(0, request, 0);
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.idempotentRequest("more", "20"));
      assertEquals(AttemptOutcome.NOT_SENT, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @Test
  void evictsIdleClientConnectionsForAnAttempt() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture()) {
      proxy.maxDescriptors = 64 + 5;
      proxy.start();
      List<HttpPeer> idleClients = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        idleClients.add(proxy.connectClient());
        idleClients.get(i).write("GET /_health HTTP/1.1\r\n\r\n");
        idleClients.get(i).read();
      }
      proxy.assertStillServes();
      assertTrue(idleClients.get(0).isClosedByPeer());
    }
  }

  @Test
  void evictsIdleUpstreamConnectionsForClients() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(6)) {
      proxy.maxDescriptors = 64 + 10;
      proxy.start();
      HttpPeer client = proxy.connectClient();
      List<HttpPeer> idle = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        int to = i;
        proxy.policy.onRequest = request -> proxy.policy.sendTo(to, request, 0);
        client.write(ProxyFixture.idempotentRequest("r" + i, "10"));
        idle.add(proxy.upstreams.get(i).accept());
        idle.get(i).read();
        idle.get(i).write(ProxyFixture.okResponse("a"));
        client.read();
      }
      for (int i = 0; i < 6; i++) {
        HttpPeer more = proxy.connectClient();
        more.write("GET /_health HTTP/1.1\r\n\r\n");
        assertEquals(200, more.read().status());
      }
      assertTrue(
          idle.get(0).isClosedByPeer()
              && idle.get(1).isClosedByPeer()
              && idle.get(2).isClosedByPeer());
    }
  }
}
