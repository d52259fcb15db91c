package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.function.UnaryOperator;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedPolicy;

/** Steps that several tests of the upstream client share. */
final class UpstreamTestSupport {

  private UpstreamTestSupport() {}

  /** Returns once the proxy, on its one thread, has read what was sent to it before. */
  static void awaitInputRead(ProxyFixture proxy) throws Exception {
    HttpPeer other = proxy.connectClient();
    other.write("GET /_health HTTP/1.1\r\n\r\n");
    other.read();
  }

  /** Answers the first watch with a full list of one endpoint and returns the watch connection. */
  static HttpPeer announceEndpoint(ProxyFixture proxy, String entry) throws Exception {
    ScriptedPolicy.takeNext(proxy.policy.updates);
    HttpPeer watch = proxy.discovery.accept();
    watch.read();
    watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, true, entry)));
    assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(proxy.policy.updates));
    return watch;
  }

  /** Answers the next poll of a watch with one changed endpoint; returns once that is applied. */
  static void sendEndpointChange(ProxyFixture proxy, HttpPeer watch, long version, String entry)
      throws Exception {
    watch.read();
    watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(version, false, entry)));
    assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(proxy.policy.updates));
  }

  /** Changes the options of the proxy's upstream client. */
  static void useOptions(ProxyFixture proxy, UnaryOperator<UpstreamClientOptions> change)
      throws InterruptedException {
    proxy.server.onLoop(
        (frontend, upstreams) -> {
          upstreams.useOptions(change.apply(upstreams.options()));
          return null;
        });
  }
}
