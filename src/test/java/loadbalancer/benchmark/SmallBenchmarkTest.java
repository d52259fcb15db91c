package loadbalancer.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.benchmark.Fleet.Entry;
import loadbalancer.benchmark.Traffic.Metric;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The benchmark at a small scale: the results that don't depend on the machine. */
class SmallBenchmarkTest {

  private static final int BALANCERS = 24;
  private static final int LIST = 40;
  private static final int ZONES = 4;
  private static final double TIMEOUT_SECONDS = 60;
  private static final long LONG_AGO = 1_600_000_000_000L;
  private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

  /** Bytes of a response's head without the digits of its length. */
  private static final int HEAD_BYTES =
      ("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n" + "content-length: \r\n\r\n")
          .length();

  private final Propagation propagation = new Propagation();

  private final class PropagationListener implements DiscoveryStandIn.Listener {

    @Override
    public void changed(long version) {
      propagation.recordChange(version, System.nanoTime());
    }

    @Override
    public void acknowledged(long after, long version) {
      throw new AssertionError("no real balancer is here");
    }
  }

  private static long responseBytes(String body) {
    return (long) HEAD_BYTES + Integer.toString(body.length()).length() + body.length();
  }

  /**
   * Each balancer has one connection and applies the list once, each change once and the list once
   * more at a resync. On a busy machine a call may time out and is repeated. All lists have the
   * same size in bytes, and so have all changes.
   */
  @Test
  void messagesAndBytesGrowWithBalancersChangesAndLists() throws Exception {
    List<Entry> entries =
        Fleet.entries(LIST, ZONES).stream().map(entry -> entry.with("up", LONG_AGO)).toList();
    try (DiscoveryStandIn discovery = new DiscoveryStandIn(entries, new PropagationListener());
        SimulatedFleet fleet = fleet(discovery)) {
      fleet.start(position -> true);
      assertEquals(0, fleet.awaitVersion(1, TIMEOUT_SECONDS));
      for (int i = 1; i <= 5; i++) {
        List<Entry> restarted = List.of(entries.get(i).with("up", LONG_AGO + i));
        assertEquals(0, fleet.awaitVersion(discovery.change(restarted), TIMEOUT_SECONDS));
      }
      assertEquals(0, fleet.awaitVersion(discovery.resync(), TIMEOUT_SECONDS));

      Traffic.Snapshot traffic = discovery.traffic(DiscoveryStandIn.SIMULATED_BALANCERS);
      long repeated = fleet.failedCalls();
      assertEquals(2 * BALANCERS, fleet.fullListsApplied());
      assertEquals(5 * BALANCERS, fleet.deltasApplied());
      assertEquals(6 * BALANCERS, propagation.count());
      long lists = traffic.total(Metric.LISTS);
      long deltas = traffic.total(Metric.DELTAS);
      long empty = traffic.total(Metric.EMPTY_ANSWERS);
      assertBetween(2 * BALANCERS, 2 * BALANCERS + repeated, lists);
      assertBetween(5 * BALANCERS, 5 * BALANCERS + repeated, deltas);
      assertEquals(
          lists * responseBytes(Fleet.list(1, true, entries))
              + deltas * responseBytes(Fleet.list(1, false, entries.subList(0, 1)))
              + empty * responseBytes(Fleet.list(1, false, List.of())),
          traffic.total(Metric.BYTES_OUT));
      // Each response is followed by one request; the last ones may not have arrived yet.
      assertBetween(
          lists + deltas + empty,
          lists + deltas + empty + BALANCERS + repeated,
          traffic.total(Metric.REQUESTS));
      assertBetween(BALANCERS, BALANCERS + repeated, traffic.total(Metric.CONNECTIONS));
    }
  }

  private static void assertBetween(long least, long most, long is) {
    assertTrue(is >= least && is <= most, is + " is not from " + least + " to " + most);
  }

  private SimulatedFleet fleet(DiscoveryStandIn discovery) {
    InetSocketAddress address = discovery.address(DiscoveryStandIn.SIMULATED_BALANCERS);
    return new SimulatedFleet(
        SimulatedBalancer.Template.parse(
            Fleet.config(UNUSED_ADDRESS, address, 7, BALANCERS, 1, ZONES)),
        BALANCERS,
        1,
        7,
        propagation);
  }

  /** The policy checks each endpoint once per attempt at most, and makes one if it succeeds. */
  @ParameterizedTest
  @ValueSource(ints = {10, 100, 1_000, 4_000})
  void requestIsOneAttemptAndChecksNoEndpointTwice(int length) throws Exception {
    SimulatedBalancer.Template template =
        SimulatedBalancer.Template.parse(
            Fleet.config(UNUSED_ADDRESS, UNUSED_ADDRESS, 7, length, 0, ZONES));
    byte[] list =
        Fleet.list(1, true, Fleet.entries(length, ZONES)).getBytes(StandardCharsets.US_ASCII);
    Point point = new Point("calls", 7);
    CallsCommand.count(point, template, template.list(list));
    assertEquals(1.0, point.results.path("call_sends").asDouble());
    assertTrue(point.results.path("call_looks").asDouble() <= length, point.results.toString());
    assertTrue(point.results.path("call_timers").asDouble() <= 2, point.results.toString());
  }

  /** 100 requests reach at most 100 endpoints, and at most those of the list. */
  @Test
  void requestsReachNoMoreEndpointsThanThereAre() throws Exception {
    for (int length : new int[] {5, 1_000}) {
      SimulatedBalancer.Template template =
          SimulatedBalancer.Template.parse(
              Fleet.config(UNUSED_ADDRESS, UNUSED_ADDRESS, 7, length, 0, ZONES));
      byte[] list =
          Fleet.list(1, true, Fleet.entries(length, ZONES)).getBytes(StandardCharsets.US_ASCII);
      PolicyRun run = new PolicyRun(template.settings(), template.list(list), 10, 7);
      int reached = run.endpointsReached(10_000);
      assertTrue(reached > 0 && reached <= Math.min(100, length), reached + " of " + length);
      assertEquals(100, run.attemptsSent());
    }
  }

  /** The whole command: all phases, each with all balancers up to date at its end. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void allPhasesEndWithAllBalancersUpToDate(boolean refuse) throws Exception {
    ControlCommand command = new ControlCommand();
    command.balancers = BALANCERS;
    command.list = LIST;
    command.deployment.zones = ZONES;
    command.deployment.tier = 0;
    command.loops = 1;
    command.changes = 2;
    command.day = 0.2;
    command.changesADay = 2_000_000;
    command.outage = 0.1;
    command.refuse = refuse;
    command.deployment.seed = 7;
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    assertEquals(0, command.printTo(new PrintStream(printed, true, StandardCharsets.UTF_8)).call());
    Map<String, JsonNode> phases = new HashMap<>();
    for (String line : printed.toString(StandardCharsets.UTF_8).lines().toList()) {
      JsonNode point = Point.JSON.readTree(line);
      assertEquals(7, point.path("seed").asInt());
      assertTrue(point.path("machine").path("processors").asInt() > 0);
      assertEquals(0, point.path("results").path("missing").asInt(), line);
      phases.put(point.path("parameters").path("phase").asText(), point.path("results"));
    }
    assertEquals(7, phases.size(), phases.keySet().toString());
    assertEquals(BALANCERS, phases.get("start").path("lists_taken").asInt());
    assertEquals(2 * BALANCERS, phases.get("changes").path("taking_in").path("takings").asInt());
    assertEquals(BALANCERS - BALANCERS / ZONES, phases.get("zone-loss").path("running").asInt());
    assertEquals(BALANCERS / ZONES, phases.get("zone-return").path("lists_taken").asInt());
    assertEquals(BALANCERS, phases.get("return").path("lists_taken").asInt());
    assertEquals(4 * BALANCERS, phases.get("return").path("taking_in").path("takings").asInt());
  }
}
