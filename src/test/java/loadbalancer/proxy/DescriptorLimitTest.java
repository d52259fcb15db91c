package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A process under the operating system's limit on its file descriptors. */
@Timeout(120)
class DescriptorLimitTest {

  private static final int DESCRIPTOR_LIMIT = 128;
  private static final int IDLE_CLIENTS = 2 * DESCRIPTOR_LIMIT;

  /** Connects more clients than the process has descriptors; none of them sends a request. */
  private static List<HttpPeer> connectIdleClients(InetSocketAddress proxy) throws IOException {
    List<HttpPeer> idle = new ArrayList<>();
    for (int i = 0; i < IDLE_CLIENTS; i++) {
      idle.add(HttpPeer.connect(proxy));
    }
    return idle;
  }

  /** Sends the list in response to calls to discovery until the process has handled it. */
  private static HttpPeer sendEndpointList(ScriptedListener discovery, String list)
      throws Exception {
    while (true) {
      HttpPeer call = discovery.accept();
      try {
        if (call.read() != null) {
          call.write(ProxyFixture.okResponse(list));
          // The next call on the connection shows that the list has been handled.
          if (call.read() != null) {
            return call;
          }
        }
      } catch (IOException e) {
        // The process has closed this connection; it opens another one.
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
        ScriptedListener secondDiscovery = new ScriptedListener()) {
      fixture.registryMode = "automatic";
      fixture.maxDescriptors = DESCRIPTOR_LIMIT;
      String[] upEntries = new String[2];
      String[] drainingEntries = new String[2];
      for (int i = 0; i < 2; i++) {
        upEntries[i] = ProxyFixture.endpointEntry(i, fixture.upstreams.get(i).address(), "up");
        drainingEntries[i] =
            ProxyFixture.endpointEntry(i, fixture.upstreams.get(i).address(), "draining");
      }
      try (ProxyProcess proxy =
          ProxyProcess.startInShell(fixture, "ulimit -n " + DESCRIPTOR_LIMIT + "; exec")) {
        proxy.connect().close();
        // Idle clients take all descriptors before discovery has responded.
        idle.addAll(connectIdleClients(proxy.address));
        assertTrue(idle.get(0).isClosedByPeer());
        idle.addAll(connectIdleClients(proxy.address));
        HttpPeer watch =
            sendEndpointList(
                fixture.discovery, ProxyFixture.endpointList(42, false, drainingEntries[0]));
        assertForwardedTo(fixture.upstreams.get(1), "first", proxy.address);
        // The process needs a descriptor for a new watch, while idle clients take all of them.
        watch.reset();
        idle.addAll(connectIdleClients(proxy.address));
        sendEndpointList(
            fixture.discovery,
            ProxyFixture.endpointList(43, false, upEntries[0], drainingEntries[1]));
        assertForwardedTo(fixture.upstreams.get(0), "second", proxy.address);
        proxy.reload(proxy.config.replace(fixture.discovery.address(), secondDiscovery.address()));
        idle.addAll(connectIdleClients(proxy.address));
        sendEndpointList(
            secondDiscovery, ProxyFixture.endpointList(7, true, drainingEntries[0], upEntries[1]));
        assertForwardedTo(fixture.upstreams.get(1), "third", proxy.address);
      }
    } finally {
      for (HttpPeer client : idle) {
        client.close();
      }
    }
  }
}
