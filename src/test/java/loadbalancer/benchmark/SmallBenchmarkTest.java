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
import loadbalancer.benchmark.Traffic.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The scale run in small: what it counts and what doesn't depend on the machine. */
class SmallBenchmarkTest {

  private static final int BALANCERS = 24;
  private static final int LIST = 40;
  private static final int ZONES = 4;
  private static final double PATIENCE_S = 60;
  private static final long LONG_AGO = 1_600_000_000_000L;
  private static final InetSocketAddress NOWHERE = new InetSocketAddress("127.0.0.1", 1);

  /** Of an answer's head, whatever the length of its body. */
  private static final int HEAD =
      ("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n" + "content-length: \r\n\r\n")
          .length();

  private final Propagation takings = new Propagation();

  private final class Stamps implements DiscoveryStandIn.Listener {

    @Override
    public void changed(long version) {
      takings.changed(version, System.nanoTime());
    }

    @Override
    public void acknowledged(long after, long version) {
      throw new AssertionError("no real balancer is here");
    }
  }

  private static long answer(String body) {
    return (long) HEAD + Integer.toString(body.length()).length() + body.length();
  }

  /**
   * Each balancer has one connection; it takes in the list once, each change once, and at a resync
   * the list once more. Where the machine is so busy that a call expires, that call alone is made
   * again. All lists here have the same length in bytes, and so have all changes, so that their sum
   * shows what was sent.
   */
  @Test
  void messagesAndBytesGoWithBalancersChangesAndLists() throws Exception {
    List<Entry> entries =
        Fleet.entries(LIST, ZONES).stream().map(entry -> entry.with("up", LONG_AGO)).toList();
    try (DiscoveryStandIn discovery = new DiscoveryStandIn(entries, new Stamps());
        SimulatedFleet fleet = fleet(discovery)) {
      fleet.start(position -> true);
      assertEquals(0, fleet.await(1, PATIENCE_S));
      for (int i = 1; i <= 5; i++) {
        List<Entry> restarted = List.of(entries.get(i).with("up", LONG_AGO + i));
        assertEquals(0, fleet.await(discovery.change(restarted), PATIENCE_S));
      }
      assertEquals(0, fleet.await(discovery.resync(), PATIENCE_S));

      Traffic.Copy traffic = discovery.traffic(DiscoveryStandIn.HOLLOW);
      long again = fleet.failures();
      assertEquals(2 * BALANCERS, fleet.lists());
      assertEquals(5 * BALANCERS, fleet.deltas());
      assertEquals(6 * BALANCERS, takings.count());
      long lists = traffic.total(Kind.LISTS);
      long deltas = traffic.total(Kind.DELTAS);
      long empty = traffic.total(Kind.EMPTY_ANSWERS);
      assertBetween(2 * BALANCERS, 2 * BALANCERS + again, lists);
      assertBetween(5 * BALANCERS, 5 * BALANCERS + again, deltas);
      assertEquals(
          lists * answer(Fleet.list(1, true, entries))
              + deltas * answer(Fleet.list(1, false, entries.subList(0, 1)))
              + empty * answer(Fleet.list(1, false, List.of())),
          traffic.total(Kind.BYTES_OUT));
      // Each answer is followed by one call, and the last ones may still be on their way.
      assertBetween(
          lists + deltas + empty,
          lists + deltas + empty + BALANCERS + again,
          traffic.total(Kind.REQUESTS));
      assertBetween(BALANCERS, BALANCERS + again, traffic.total(Kind.CONNECTIONS));
    }
  }

  private static void assertBetween(long least, long most, long is) {
    assertTrue(is >= least && is <= most, is + " is not from " + least + " to " + most);
  }

  private SimulatedFleet fleet(DiscoveryStandIn discovery) {
    InetSocketAddress address = discovery.address(DiscoveryStandIn.HOLLOW);
    return new SimulatedFleet(
        SimulatedBalancer.Template.parse(Fleet.config(NOWHERE, address, 7, BALANCERS, 1, ZONES)),
        BALANCERS,
        1,
        7,
        takings);
  }

  /**
   * A call looks at no server more than once for each attempt, and is one send where all is well.
   */
  @ParameterizedTest
  @ValueSource(ints = {10, 100, 1_000, 4_000})
  void aCallIsOneSendAndLooksAtNoServerTwice(int length) throws Exception {
    SimulatedBalancer.Template template =
        SimulatedBalancer.Template.parse(Fleet.config(NOWHERE, NOWHERE, 7, length, 0, ZONES));
    byte[] list =
        Fleet.list(1, true, Fleet.entries(length, ZONES)).getBytes(StandardCharsets.US_ASCII);
    Point point = new Point("calls", 7);
    CallsCommand.count(point, template, template.list(list));
    assertEquals(1.0, point.results.path("call_sends").asDouble());
    assertTrue(point.results.path("call_looks").asDouble() <= length, point.results.toString());
    assertTrue(point.results.path("call_timers").asDouble() <= 2, point.results.toString());
  }

  /**
   * Whoever makes 100 calls holds connections to no more servers than there are, or than it made
   * calls.
   */
  @Test
  void callsReachNoMoreServersThanThereAre() throws Exception {
    for (int length : new int[] {5, 1_000}) {
      SimulatedBalancer.Template template =
          SimulatedBalancer.Template.parse(Fleet.config(NOWHERE, NOWHERE, 7, length, 0, ZONES));
      byte[] list =
          Fleet.list(1, true, Fleet.entries(length, ZONES)).getBytes(StandardCharsets.US_ASCII);
      PolicyRun run = new PolicyRun(template.settings(), template.list(list), 10, 7);
      int reached = run.reached(10_000);
      assertTrue(reached > 0 && reached <= Math.min(100, length), reached + " of " + length);
      assertEquals(100, run.sends());
    }
  }

  /** The whole command: all phases, each with all balancers up to date at its end. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void allPhasesEndWithEveryBalancerUpToDate(boolean refuse) throws Exception {
    ControlCommand command = new ControlCommand();
    command.balancers = BALANCERS;
    command.list = LIST;
    command.deployment.zones = ZONES;
    command.loops = 1;
    command.changes = 2;
    command.day = 0.2;
    command.changesADay = 2_000_000;
    command.outage = 0.1;
    command.refuse = refuse;
    command.deployment.seed = 7;
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    assertEquals(0, command.to(new PrintStream(printed, true, StandardCharsets.UTF_8)).call());
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
