package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import loadbalancer.proxy.eventloop.ClientEvictor.Eviction;
import org.junit.jupiter.api.Test;

/** Which connections give way when the descriptors are used up, and what is reported of it. */
class DescriptorBudgetTest {

  private static final int MAX_CONNECTIONS = 5;
  private static final double NOW = 10_000;

  private final DescriptorBudget budget = new DescriptorBudget(64 + MAX_CONNECTIONS);
  private final DescriptorLimitReport report = new DescriptorLimitReport(budget);
  private final List<EmbeddedChannel> connections = new ArrayList<>();
  private final List<String> evictions = new ArrayList<>();

  DescriptorBudgetTest() {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      EmbeddedChannel connection = new EmbeddedChannel();
      budget.track(connection);
      connections.add(connection);
    }
    budget.onEvictUpstream(
        () -> {
          evictions.add("upstream");
          return false;
        });
  }

  /** Sets an evictor that finds at most a request received in part for less than 0.3 s. */
  private void evictInactiveClientsIf(boolean partialRequestFound) {
    budget.onEvictClient(
        new ClientEvictor() {
          @Override
          public Eviction evictIdle(double inactiveSinceMillis) {
            evictions.add("idle " + inactiveSinceMillis);
            return Eviction.NONE;
          }

          @Override
          public Eviction evictInactive(double inactiveSinceMillis) {
            evictions.add("inactive " + inactiveSinceMillis);
            if (!partialRequestFound || inactiveSinceMillis < NOW) {
              return Eviction.NONE;
            }
            connections.remove(0).close();
            return Eviction.PARTIAL_REQUEST;
          }
        });
  }

  @Test
  void longInactiveClientsGiveWayFirstAndOtherInactiveClientsLast() {
    evictInactiveClientsIf(true);
    assertTrue(budget.canAcceptClient(NOW));
    assertEquals(
        List.of("idle 9700.0", "inactive 9700.0", "upstream", "inactive 10000.0"), evictions);
    assertEquals(MAX_CONNECTIONS - 1, budget.openConnections());
  }

  @Test
  void acceptsNoClientIfNoConnectionGivesWay() {
    evictInactiveClientsIf(false);
    assertFalse(budget.canAcceptClient(NOW));
    assertEquals(Optional.empty(), report.next(0));
  }

  @Test
  void reportsEvictionsAndPausesOnce() {
    evictInactiveClientsIf(true);
    assertTrue(budget.canAcceptClient(NOW));
    assertEquals(
        Optional.of(
            "descriptor limit reached: evicted_clients=0 rejected_requests=1 evicted_upstreams=0"
                + " accept_paused_ms=250 open_connections=4 max_connections=5"),
        report.next(250));
    assertEquals(Optional.empty(), report.next(250));
  }
}
