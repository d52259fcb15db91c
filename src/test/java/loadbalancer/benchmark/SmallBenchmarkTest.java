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
import loadbalancer.benchmark.DiscoveryTraffic.Metric;
import loadbalancer.benchmark.SyntheticDeployment.EndpointEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the benchmark at a small scale and checks results that don't depend on the machine. */
class SmallBenchmarkTest {

  private static final int BALANCERS = 24;
  private static final int LIST_LENGTH = 40;
  private static final int ZONES = 4;
  private static final double TIMEOUT_SECONDS = 60;
  private static final long LONG_AGO = 1_600_000_000_000L;
  private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

  /** Size of a response's head without the digits of the content length. */
  private static final int HEAD_BYTES =
      ("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n" + "content-length: \r\n\r\n")
          .length();

  private final PropagationTimes propagationTimes = new PropagationTimes();

  private final class VersionRecorder implements FakeDiscoveryService.Listener {

    @Override
    public void versionCreated(long version) {
      propagationTimes.recordChange(version, System.nanoTime());
    }

    @Override
    public void versionAcknowledged(long previousVersion, long version) {
      throw new AssertionError("there is no real balancer in this test");
    }
  }

  private static long responseBytes(String body) {
    return (long) HEAD_BYTES + Integer.toString(body.length()).length() + body.length();
  }

  /**
   * Each balancer has one connection and applies the list once, each change once, and the list once
   * more after a resync. On a busy machine a call to discovery may time out and be repeated. All
   * lists have the same size in bytes, and so have all deltas.
   */
  @Test
  void messagesAndBytesGrowWithBalancersChangesAndLists() throws Exception {
    List<EndpointEntry> entries =
        SyntheticDeployment.entries(LIST_LENGTH, ZONES).stream()
            .map(entry -> entry.withState("up", LONG_AGO))
            .toList();
    try (FakeDiscoveryService discovery = new FakeDiscoveryService(entries, new VersionRecorder());
        SimulatedBalancerFleet fleet = fleet(discovery)) {
      fleet.start(balancerIndex -> true);
      assertEquals(0, fleet.awaitVersion(1, TIMEOUT_SECONDS));
      for (int i = 1; i <= 5; i++) {
        List<EndpointEntry> restarted = List.of(entries.get(i).withState("up", LONG_AGO + i));
        assertEquals(0, fleet.awaitVersion(discovery.change(restarted), TIMEOUT_SECONDS));
      }
      assertEquals(0, fleet.awaitVersion(discovery.resync(), TIMEOUT_SECONDS));

      DiscoveryTraffic.Snapshot traffic =
          discovery.traffic(FakeDiscoveryService.SIMULATED_BALANCERS);
      long repeatedCalls = fleet.failedCalls();
      assertEquals(2 * BALANCERS, fleet.fullListsApplied());
      assertEquals(5 * BALANCERS, fleet.deltasApplied());
      assertEquals(6 * BALANCERS, propagationTimes.count());
      long listResponses = traffic.total(Metric.LISTS);
      long deltaResponses = traffic.total(Metric.DELTAS);
      long emptyResponses = traffic.total(Metric.EMPTY_ANSWERS);
      assertBetween(2 * BALANCERS, 2 * BALANCERS + repeatedCalls, listResponses);
      assertBetween(5 * BALANCERS, 5 * BALANCERS + repeatedCalls, deltaResponses);
      assertEquals(
          listResponses * responseBytes(SyntheticDeployment.listJson(1, true, entries))
              + deltaResponses
                  * responseBytes(SyntheticDeployment.listJson(1, false, entries.subList(0, 1)))
              + emptyResponses * responseBytes(SyntheticDeployment.listJson(1, false, List.of())),
          traffic.total(Metric.BYTES_OUT));
      // Each response is followed by a request; the last of these may not have arrived yet.
      assertBetween(
          listResponses + deltaResponses + emptyResponses,
          listResponses + deltaResponses + emptyResponses + BALANCERS + repeatedCalls,
          traffic.total(Metric.REQUESTS));
      assertBetween(BALANCERS, BALANCERS + repeatedCalls, traffic.total(Metric.CONNECTIONS));
    }
  }

  private static void assertBetween(long min, long max, long actual) {
    assertTrue(actual >= min && actual <= max, actual + " is not from " + min + " to " + max);
  }

  private SimulatedBalancerFleet fleet(FakeDiscoveryService discovery) {
    InetSocketAddress address = discovery.address(FakeDiscoveryService.SIMULATED_BALANCERS);
    return new SimulatedBalancerFleet(
        SimulatedBalancer.Template.parse(
            SyntheticDeployment.configJson(UNUSED_ADDRESS, address, 7, BALANCERS, 1, ZONES)),
        BALANCERS,
        1,
        7,
        propagationTimes);
  }

  /** A request that succeeds takes one attempt, for which no endpoint is checked more than once. */
  @ParameterizedTest
  @ValueSource(ints = {10, 100, 1_000, 4_000})
  void requestIsOneAttemptAndChecksNoEndpointTwice(int listLength) throws Exception {
    SimulatedBalancer.Template template =
        SimulatedBalancer.Template.parse(
            SyntheticDeployment.configJson(
                UNUSED_ADDRESS, UNUSED_ADDRESS, 7, listLength, 0, ZONES));
    byte[] listJson =
        SyntheticDeployment.listJson(1, true, SyntheticDeployment.entries(listLength, ZONES))
            .getBytes(StandardCharsets.US_ASCII);
    MeasuredPoint point = new MeasuredPoint("calls", 7);
    CallsCommand.countOperations(point, template, template.parseEndpoints(listJson));
    assertEquals(1.0, point.results.path("call_sends").asDouble());
    assertTrue(point.results.path("call_looks").asDouble() <= listLength, point.results.toString());
    assertTrue(point.results.path("call_timers").asDouble() <= 2, point.results.toString());
  }

  /** 100 requests reach at most 100 endpoints, and no more than the list has. */
  @Test
  void requestsReachNoMoreEndpointsThanThereAre() throws Exception {
    for (int listLength : new int[] {5, 1_000}) {
      SimulatedBalancer.Template template =
          SimulatedBalancer.Template.parse(
              SyntheticDeployment.configJson(
                  UNUSED_ADDRESS, UNUSED_ADDRESS, 7, listLength, 0, ZONES));
      byte[] listJson =
          SyntheticDeployment.listJson(1, true, SyntheticDeployment.entries(listLength, ZONES))
              .getBytes(StandardCharsets.US_ASCII);
      VirtualTimePolicyRun run =
          new VirtualTimePolicyRun(template.settings(), template.parseEndpoints(listJson), 10, 7);
      int reachedCount = run.countEndpointsReached(10_000);
      assertTrue(
          reachedCount > 0 && reachedCount <= Math.min(100, listLength),
          reachedCount + " endpoints reached, of " + listLength);
      assertEquals(100, run.attemptsSent());
    }
  }

  /**
   * Runs all phases of the command {@code control}; at the end of each, no balancer is outdated.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void allPhasesEndWithAllBalancersUpToDate(boolean refuseConnections) throws Exception {
    ControlCommand command = new ControlCommand();
    command.balancerCount = BALANCERS;
    command.listLength = LIST_LENGTH;
    command.deployment.zones = ZONES;
    command.deployment.tier = 0;
    command.loopCount = 1;
    command.changeCount = 2;
    command.daySeconds = 0.2;
    command.changesPerDay = 2_000_000;
    command.outageSeconds = 0.1;
    command.refuseConnections = refuseConnections;
    command.deployment.seed = 7;
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    assertEquals(
        0, command.printPointsTo(new PrintStream(printed, true, StandardCharsets.UTF_8)).call());
    Map<String, JsonNode> phases = new HashMap<>();
    for (String line : printed.toString(StandardCharsets.UTF_8).lines().toList()) {
      JsonNode point = MeasuredPoint.JSON.readTree(line);
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
    // The three changes made during the outage and the one made at its end.
    assertEquals(4 * BALANCERS, phases.get("return").path("taking_in").path("takings").asInt());
  }
}
