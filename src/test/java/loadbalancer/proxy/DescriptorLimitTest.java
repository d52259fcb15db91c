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
    List<HttpPeer> idleClients = new ArrayList<>();
    for (int i = 0; i < IDLE_CLIENTS; i++) {
      idleClients.add(HttpPeer.connect(proxy));
    }
    return idleClients;
  }

  /** Sends the list in response to calls to discovery until the process has handled it. */
  private static HttpPeer sendEndpointList(ScriptedListener discovery, String endpointList)
      throws Exception {
    while (true) {
      HttpPeer discoveryConnection = discovery.accept();
      try {
        if (discoveryConnection.read() != null) {
          discoveryConnection.write(ProxyFixture.okResponse(endpointList));
          // The next call on the connection shows that the list has been handled.
          if (discoveryConnection.read() != null) {
            return discoveryConnection;
          }
        }
      } catch (IOException e) {
        // The process has closed this connection; it opens another one.
      }
    }
  }

  private static void assertForwardedTo(
      ScriptedListener upstream, String requestId, InetSocketAddress proxy) throws Exception {
    try (HttpPeer client = HttpPeer.connect(proxy)) {
      client.write(ProxyFixture.idempotentRequest(requestId, "15"));
      HttpPeer upstreamConnection = upstream.accept();
      assertEquals(requestId, upstreamConnection.read().header("X-Txn"));
      upstreamConnection.write(ProxyFixture.okResponse(requestId));
      assertEquals(requestId, client.read().body());
    }
  }

  @Test
  void idleClientsThatUseAllDescriptorsBlockNeitherDiscoveryNorAttempts() throws Exception {
    List<HttpPeer> idleClients = new ArrayList<>();
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
        idleClients.addAll(connectIdleClients(proxy.address));
        assertTrue(idleClients.get(0).isClosedByPeer());
        idleClients.addAll(connectIdleClients(proxy.address));
        HttpPeer watch =
            sendEndpointList(
                fixture.discovery, ProxyFixture.endpointList(42, false, drainingEntries[0]));
        assertForwardedTo(fixture.upstreams.get(1), "first", proxy.address);
        // The process needs a descriptor for a new watch, while idle clients take all of them.
        watch.reset();
        idleClients.addAll(connectIdleClients(proxy.address));
        sendEndpointList(
            fixture.discovery,
            ProxyFixture.endpointList(43, false, upEntries[0], drainingEntries[1]));
        assertForwardedTo(fixture.upstreams.get(0), "second", proxy.address);
        proxy.reload(proxy.config.replace(fixture.discovery.address(), secondDiscovery.address()));
        idleClients.addAll(connectIdleClients(proxy.address));
        sendEndpointList(
            secondDiscovery, ProxyFixture.endpointList(7, true, drainingEntries[0], upEntries[1]));
        assertForwardedTo(fixture.upstreams.get(1), "third", proxy.address);
      }
    } finally {
      for (HttpPeer client : idleClients) {
        client.close();
      }
    }
  }
}
