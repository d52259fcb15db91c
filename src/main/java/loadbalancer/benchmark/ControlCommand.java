package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import loadbalancer.benchmark.Fleet.Entry;
import loadbalancer.benchmark.Traffic.Kind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Many balancers against one discovery, through a start, a rest, single changes, changes at the
 * plan's rate, the loss and cold return of a zone, and an outage with everybody's return. Each
 * phase is one point.
 */
@Command(
    name = "control",
    description = "Measures what control costs against balancers and list length.",
    mixinStandardHelpOptions = true)
final class ControlCommand implements Callable<Integer> {

  private static final int MOST_BALANCERS = 6_000;
  private static final int LONGEST_LIST = 15_000;

  /** Bounds memory: each balancer has the list in its module, at some 400 bytes an entry. */
  private static final long MOST_ENTRIES = 4_000_000;

  private static final int SPARE_SOCKETS = 500;
  private static final double LONGEST_TAKING = 30;
  private static final double SECONDS_A_DAY = 86_400;
  private static final double NANOS = 1e9;
  private static final double NANOS_PER_US = 1e3;
  private static final double KB = 1_024;
  private static final int OUTAGE_CHANGES = 3;

  @Option(names = "--balancers", defaultValue = "200", description = "Hollow balancers.")
  int balancers;

  @Option(names = "--list", defaultValue = "100", description = "Upstreams in the list.")
  int list;

  @Option(names = "--real", defaultValue = "0", description = "Real balancers beside them.")
  int real;

  @Mixin DeploymentOptions deployment = new DeploymentOptions();

  @Option(names = "--tier", defaultValue = "1", description = "0 where clients arrive, else 1.")
  int tier;

  @Option(
      names = "--loops",
      defaultValue = "2",
      description = "Threads that hollow balancers share.")
  int loops;

  @Option(
      names = "--rest",
      defaultValue = "6",
      description = "Seconds of the phase without changes.")
  double rest;

  @Option(
      names = "--changes",
      defaultValue = "5",
      description = "Single changes, one after another.")
  int changes;

  @Option(
      names = "--day",
      defaultValue = "12",
      description = "Seconds of changes at the daily rate.")
  double day;

  @Option(names = "--a-day", defaultValue = "29000", description = "Changes a day.")
  double changesADay;

  @Option(names = "--outage", defaultValue = "5", description = "Seconds of the outage.")
  double outage;

  @Option(
      names = "--refuse",
      description = "In the outage connections are reset instead of silent.")
  boolean refuse;

  @Option(
      names = "--keeps-history",
      description = "After the outage changes are known, not whole lists.")
  boolean keepsHistory;

  private PrintStream out = System.out;
  private DiscoveryStandIn discovery;
  private SimulatedFleet fleet;
  private List<BalancerProcess> reals = List.of();
  private final Propagation hollowTakings = new Propagation();
  private final Propagation realTakings = new Propagation();
  private List<Entry> entries;
  private SplittableRandom random;

  /** What a phase begins with. */
  private record Before(
      long at, Traffic.Copy hollow, Traffic.Copy real, long cpu, double realCpu) {}

  /** One phase; returns how many balancers had not taken everything in by its end. */
  private interface Work {

    int run() throws InterruptedException, IOException;
  }

  /** Prints its points there instead; for tests. */
  ControlCommand to(PrintStream stream) {
    out = stream;
    return this;
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    Arguments.within("--balancers", balancers, 1, MOST_BALANCERS);
    Arguments.within("--list", list, 1, LONGEST_LIST);
    Arguments.within("--balancers times --list", (double) balancers * list, 1, MOST_ENTRIES);
    Arguments.within("--real", real, 0, 64);
    deployment.check();
    Arguments.within("--tier", tier, 0, 1);
    Arguments.within("--loops", loops, 1, 8);
    Arguments.within("--rest", rest, 0, 120);
    Arguments.within("--changes", changes, 0, 1_000);
    Arguments.within("--day", day, 0, 120);
    Arguments.within("--a-day", changesADay, 1, 10_000_000);
    Arguments.within("--outage", outage, 0, 60);
    Machine.check(2L * balancers + SPARE_SOCKETS, real);
    random = new SplittableRandom(deployment.seed);
    entries = new ArrayList<>(Fleet.entries(list, deployment.zones));
    discovery = new DiscoveryStandIn(entries, new Stamps());
    try {
      SimulatedBalancer.Template template =
          SimulatedBalancer.Template.parse(
              Fleet.config(
                  discovery.address(DiscoveryStandIn.HOLLOW),
                  discovery.address(DiscoveryStandIn.HOLLOW),
                  deployment.seed,
                  balancers,
                  tier,
                  deployment.zones));
      fleet = new SimulatedFleet(template, balancers, loops, deployment.seed, hollowTakings);
      reals =
          BalancerProcess.start(
              real, BalancerProcess.run(), discovery, deployment.seed, tier, deployment.zones);
      phases();
    } finally {
      if (fleet != null) {
        fleet.close();
      }
      reals.forEach(BalancerProcess::close);
      discovery.close();
    }
    return 0;
  }

  private final class Stamps implements DiscoveryStandIn.Listener {

    @Override
    public void changed(long version) {
      hollowTakings.changed(version, System.nanoTime());
      realTakings.changed(version, System.nanoTime());
    }

    @Override
    public void acknowledged(long after, long version) {
      realTakings.taken(after, version, System.nanoTime());
    }
  }

  private void phases() throws IOException, InterruptedException {
    long heap = heap();
    phase(
        "start",
        () -> {
          fleet.start(position -> true);
          return fleet.await(1, LONGEST_TAKING);
        },
        heap);
    if (rest > 0) {
      phase(
          "rest",
          () -> {
            sleep(rest);
            return 0;
          },
          0);
    }
    if (changes > 0) {
      phase("changes", this::singleChanges, 0);
    }
    if (day > 0) {
      phase("day", this::dayOfChanges, 0);
    }
    if (deployment.zones > 1) {
      IntPredicate lost = position -> position % deployment.zones == 0;
      phase(
          "zone-loss",
          () -> {
            fleet.stop(lost);
            return fleet.await(discovery.change(zone("removed", 0)), LONGEST_TAKING);
          },
          0);
      phase(
          "zone-return",
          () -> {
            long version = discovery.change(zone("up", System.currentTimeMillis()));
            fleet.start(lost);
            return fleet.await(version, LONGEST_TAKING);
          },
          0);
    }
    if (outage > 0) {
      phase("outage", this::outage, 0);
      phase("return", this::comeBack, 0);
    }
  }

  private int singleChanges() throws InterruptedException {
    int missing = 0;
    for (int i = 0; i < changes; i++) {
      missing += fleet.await(discovery.change(List.of(flip())), LONGEST_TAKING);
    }
    return missing;
  }

  /** Changes at random times, at the given number a day on average. */
  private int dayOfChanges() throws InterruptedException {
    long end = System.nanoTime() + (long) (day * NANOS);
    long version = 0;
    while (true) {
      double gap = -Math.log(1 - random.nextDouble()) * SECONDS_A_DAY / changesADay;
      double left = (end - System.nanoTime()) / NANOS;
      sleep(Math.min(gap, left));
      if (gap >= left) {
        return fleet.await(version, LONGEST_TAKING);
      }
      version = discovery.change(List.of(flip()));
    }
  }

  private int outage() throws InterruptedException {
    discovery.mode(refuse ? DiscoveryStandIn.Mode.REFUSING : DiscoveryStandIn.Mode.SILENT);
    for (int i = 0; i < OUTAGE_CHANGES; i++) {
      sleep(outage / OUTAGE_CHANGES);
      discovery.change(List.of(flip()));
    }
    return 0;
  }

  /** Its changes count from now on, as nobody could have them before. */
  private int comeBack() throws InterruptedException {
    if (!keepsHistory) {
      discovery.forget();
    }
    long version = discovery.change(List.of(flip()));
    hollowTakings.restamp(System.nanoTime());
    realTakings.restamp(System.nanoTime());
    discovery.mode(DiscoveryStandIn.Mode.ANSWERING);
    return fleet.await(version, LONGEST_TAKING);
  }

  /** An entry that begins to drain, or is up again. */
  private Entry flip() {
    int at = random.nextInt(entries.size());
    Entry old = entries.get(at);
    Entry changed = old.with(old.state().equals("up") ? "draining" : "up", old.startedMillis());
    entries.set(at, changed);
    return changed;
  }

  /** The entries of the first zone in another state. */
  private List<Entry> zone(String state, long startedMillis) {
    List<Entry> changed = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      if (entries.get(i).zone() == 0) {
        entries.set(i, entries.get(i).with(state, startedMillis));
        changed.add(entries.get(i));
      }
    }
    return changed;
  }

  private static void sleep(double seconds) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep((long) (seconds * NANOS));
  }

  /** Bytes in use once what is garbage is gone. */
  private static long heap() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /**
   * Runs one phase and prints its point; with the heap that was in use before, also what was added.
   */
  private void phase(String name, Work work, long heapBefore)
      throws InterruptedException, IOException {
    // Only the return counts what changed before it.
    if (!name.equals("return")) {
      hollowTakings.begin();
      realTakings.begin();
    }
    Before before = before();
    long lists = fleet.lists();
    long deltas = fleet.deltas();
    long failures = fleet.failures();
    int missing = work.run();
    Point point = new Point("control", deployment.seed);
    point
        .parameters
        .put("phase", name)
        .put("balancers", balancers)
        .put("list", list)
        .put("real", real)
        .put("zones", deployment.zones)
        .put("tier", tier)
        .put("loops", loops)
        .put("changes_a_day", changesADay)
        .put("outage_s", outage)
        .put("refuse", refuse)
        .put("keeps_history", keepsHistory);
    ObjectNode results = point.results;
    double seconds = (System.nanoTime() - before.at()) / NANOS;
    results.put("seconds", Point.rounded(seconds));
    results.put("running", fleet.running());
    results.put("missing", missing);
    results.put("lists_taken", fleet.lists() - lists);
    results.put("deltas_taken", fleet.deltas() - deltas);
    results.put("calls_failed", fleet.failures() - failures);
    double cpu = (fleet.cpuNanos() - before.cpu()) / NANOS_PER_US;
    results.put("cpu_us", Point.rounded(cpu));
    results.put("cpu_us_per_balancer", Point.rounded(cpu / Math.max(1, fleet.running())));
    hollowTakings.write(results.putObject("taking_in"));
    traffic(
        results.putObject("discovery"),
        before.hollow(),
        DiscoveryStandIn.HOLLOW,
        seconds,
        fleet.running());
    if (real > 0) {
      ObjectNode reals = results.putObject("real_balancers");
      realTakings.write(reals.putObject("taking_in"));
      reals.put("cpu_us_per_balancer", (realCpu() - before.realCpu()) * 1_000 / real);
      traffic(reals.putObject("discovery"), before.real(), DiscoveryStandIn.REAL, seconds, real);
    }
    if (heapBefore > 0) {
      results.put("heap_kb_per_balancer", Point.rounded((heap() - heapBefore) / KB / balancers));
    }
    point.print(out);
  }

  private Before before() throws IOException {
    return new Before(
        System.nanoTime(),
        discovery.traffic(DiscoveryStandIn.HOLLOW),
        discovery.traffic(DiscoveryStandIn.REAL),
        fleet.cpuNanos(),
        realCpu());
  }

  private double realCpu() throws IOException {
    double sum = 0;
    for (BalancerProcess balancer : reals) {
      sum += balancer.cpuMillis();
    }
    return sum;
  }

  /**
   * Totals, the peak of a second, what one balancer has of it in a second, and each second's of
   * all.
   */
  private void traffic(ObjectNode to, Traffic.Copy before, int which, double seconds, int callers) {
    Traffic.Copy after = discovery.traffic(which);
    for (Kind kind : Kind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT);
      long total = after.total(kind) - before.total(kind);
      to.put(name, total);
      to.put(name + "_peak_a_second", after.peak(before, kind));
      if (kind == Kind.REQUESTS || kind == Kind.BYTES_IN || kind == Kind.BYTES_OUT) {
        to.put(
            name + "_per_balancer_second", Point.rounded(total / seconds / Math.max(1, callers)));
      }
      if (which == DiscoveryStandIn.HOLLOW && (kind == Kind.REQUESTS || kind == Kind.BYTES_OUT)) {
        ArrayNode each = to.putArray(name + "_each_second");
        for (long second : after.since(before, kind)) {
          each.add(second);
        }
      }
    }
  }
}
