package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The process under a limit of the operating system on its descriptors. */
@Timeout(120)
class DescriptorLimitTest {

  private static final int LIMIT = 128;
  private static final int IDLE_CLIENTS = 2 * LIMIT;

  /** Connects more clients than there are descriptors; none of them sends a request. */
  private static List<HttpPeer> connectIdleClients(InetSocketAddress proxy) throws IOException {
    List<HttpPeer> idle = new ArrayList<>();
    for (int i = 0; i < IDLE_CLIENTS; i++) {
      idle.add(HttpPeer.connect(proxy));
    }
    return idle;
  }

  /** Responds to discovery calls until the endpoint list has been handled. */
  private static HttpPeer sendEndpointList(ScriptedListener discovery, String list)
      throws Exception {
    while (true) {
      HttpPeer call = discovery.accept();
      try {
        if (call.read() != null) {
          call.write(ProxyFixture.okResponse(list));
          // The list has been handled once the next call arrives.
          if (call.read() != null) {
            return call;
          }
        }
      } catch (IOException e) {
        // This call was closed meanwhile; a later one follows.
      }
    }
  }

  private static void assertForwardedTo(
      ScriptedListener upstream, String id, InetSocketAddress proxy) throws Exception {
    try (HttpPeer client = HttpPeer.connect(proxy)) {
      client.write(ProxyFixture.idempotentRequest(id, "15"));
      HttpPeer attempt = upstream.accept();
      assertEquals(id, attempt.read().header("X-Txn"));
      attempt.write(ProxyFixture.okResponse(id));
      assertEquals(id, client.read().body());
    }
  }

  @Test
  void idleClientsThatUseAllDescriptorsBlockNeitherDiscoveryNorAttempts() throws Exception {
    List<HttpPeer> idle = new ArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture(2);
        ScriptedListener second = new ScriptedListener()) {
      fixture.registryMode = "automatic";
      fixture.maxDescriptors = LIMIT;
      String[] up = new String[2];
      String[] draining = new String[2];
      for (int i = 0; i < 2; i++) {
        up[i] = ProxyFixture.endpointEntry(i, fixture.upstreams.get(i).address(), "up");
        draining[i] = ProxyFixture.endpointEntry(i, fixture.upstreams.get(i).address(), "draining");
      }
      try (ProxyProcess proxy =
          ProxyProcess.startInShell(fixture, "ulimit -n " + LIMIT + "; exec")) {
        proxy.connect().close();
        // Idle clients arrive before discovery has responded.
        idle.addAll(connectIdleClients(proxy.address));
        assertTrue(idle.get(0).isClosedByPeer());
        idle.addAll(connectIdleClients(proxy.address));
        HttpPeer watch =
            sendEndpointList(fixture.discovery, ProxyFixture.endpointList(42, false, draining[0]));
        assertForwardedTo(fixture.upstreams.get(1), "first", proxy.address);
        // A new watch while the old connection is still open at discovery.
        watch.reset();
        idle.addAll(connectIdleClients(proxy.address));
        sendEndpointList(
            fixture.discovery, ProxyFixture.endpointList(43, false, up[0], draining[1]));
        assertForwardedTo(fixture.upstreams.get(0), "second", proxy.address);
        proxy.reload(proxy.config.replace(fixture.discovery.address(), second.address()));
        idle.addAll(connectIdleClients(proxy.address));
        sendEndpointList(second, ProxyFixture.endpointList(7, true, draining[0], up[1]));
        assertForwardedTo(fixture.upstreams.get(1), "third", proxy.address);
      }
    } finally {
      for (HttpPeer one : idle) {
        one.close();
      }
    }
  }
}
