package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The program under a real limit on descriptors. */
@Timeout(120)
class DescriptorLimitTest {

  private static final int LIMIT = 128;
  private static final int CROWD = 2 * LIMIT;

  /** As many as the program's descriptors, and more that wait for one; none of them ever sends. */
  private static List<HttpPeer> crowd(InetSocketAddress node) throws IOException {
    List<HttpPeer> idle = new ArrayList<>();
    for (int i = 0; i < CROWD; i++) {
      idle.add(HttpPeer.connect(node));
    }
    return idle;
  }

  /** Has discovery tell a list, whatever calls it has left without an answer so far. */
  private static HttpPeer tell(ScriptedListener discovery, String roster) throws Exception {
    while (true) {
      HttpPeer call = discovery.accept();
      try {
        if (call.read() != null) {
          call.write(ProxyFixture.okResponse(roster));
          // It has been taken in once the next call is out.
          if (call.read() != null) {
            return call;
          }
        }
      } catch (IOException e) {
        // Given up meanwhile; there is a later one.
      }
    }
  }

  private static void assertGoesTo(ScriptedListener upstream, String id, InetSocketAddress node)
      throws Exception {
    try (HttpPeer caller = HttpPeer.connect(node)) {
      caller.write(ProxyFixture.idempotentRequest(id, "15"));
      HttpPeer taker = upstream.accept();
      assertEquals(id, taker.read().header("X-Txn"));
      taker.write(ProxyFixture.okResponse(id));
      assertEquals(id, caller.read().body());
    }
  }

  @Test
  void idleClientsThatFillTheDescriptorsKeepOutNeitherNewsNorAttempts() throws Exception {
    List<HttpPeer> idle = new ArrayList<>();
    try (ProxyFixture stage = new ProxyFixture(2);
        ScriptedListener second = new ScriptedListener()) {
      stage.registryMode = "automatic";
      stage.maxDescriptors = LIMIT;
      String[] up = new String[2];
      String[] draining = new String[2];
      for (int i = 0; i < 2; i++) {
        up[i] = ProxyFixture.endpointEntry(i, stage.upstreams.get(i).address(), "up");
        draining[i] = ProxyFixture.endpointEntry(i, stage.upstreams.get(i).address(), "draining");
      }
      try (ProxyProcess node = ProxyProcess.startInShell(stage, "ulimit -n " + LIMIT + "; exec")) {
        node.connect().close();
        // While discovery is silent they come, and wait for each other to go.
        idle.addAll(crowd(node.address));
        assertTrue(idle.get(0).isClosedByPeer());
        idle.addAll(crowd(node.address));
        HttpPeer watch = tell(stage.discovery, ProxyFixture.endpointList(42, false, draining[0]));
        assertGoesTo(stage.upstreams.get(1), "first", node.address);
        // A new watch while the old one is still open on the other side.
        watch.reset();
        idle.addAll(crowd(node.address));
        tell(stage.discovery, ProxyFixture.endpointList(43, false, up[0], draining[1]));
        assertGoesTo(stage.upstreams.get(0), "second", node.address);
        node.reload(node.config.replace(stage.discovery.address(), second.address()));
        idle.addAll(crowd(node.address));
        tell(second, ProxyFixture.endpointList(7, true, draining[0], up[1]));
        assertGoesTo(stage.upstreams.get(1), "third", node.address);
      }
    } finally {
      for (HttpPeer one : idle) {
        one.close();
      }
    }
  }
}
