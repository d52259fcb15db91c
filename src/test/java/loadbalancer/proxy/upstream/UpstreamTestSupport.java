package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.function.UnaryOperator;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedPolicy;

/** Helpers for the tests of this package. */
final class UpstreamTestSupport {

  private UpstreamTestSupport() {}

  /**
   * Returns once the proxy has read all that was sent to it before. The proxy has one event loop
   * thread, so it responds to a later health check only after that.
   */
  static void awaitInputRead(ProxyFixture proxy) throws Exception {
    HttpPeer healthCheckClient = proxy.connectClient();
    healthCheckClient.write("GET /_health HTTP/1.1\r\n\r\n");
    healthCheckClient.read();
  }

  /** Responds to the first watch with a full list of one endpoint; returns its connection. */
  static HttpPeer announceEndpoint(ProxyFixture proxy, String entry) throws Exception {
    ScriptedPolicy.takeNext(proxy.policy.updates);
    HttpPeer watch = proxy.discovery.accept();
    watch.read();
    watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, true, entry)));
    assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(proxy.policy.updates));
    return watch;
  }

  /** Responds to the next watch with one changed endpoint; returns once that is applied. */
  static void sendEndpointChange(ProxyFixture proxy, HttpPeer watch, long version, String entry)
      throws Exception {
    watch.read();
    watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(version, false, entry)));
    assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(proxy.policy.updates));
  }

  /** Replaces the options of the proxy's upstream client by a changed copy. */
  static void useOptions(ProxyFixture proxy, UnaryOperator<UpstreamClientOptions> change)
      throws InterruptedException {
    proxy.server.onLoop(
        (frontend, upstreams) -> {
          upstreams.useOptions(change.apply(upstreams.options()));
          return null;
        });
  }
}
