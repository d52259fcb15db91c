package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import loadbalancer.benchmark.Traffic.Metric;

/** Runs the phases of the control benchmark and prints what each has cost as one point. */
final class PhaseRecorder {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final int MICROS_PER_MILLI = 1_000;
  private static final double BYTES_PER_KB = 1_024;

  private final ControlCommand options;
  private final DiscoveryStandIn discovery;
  private final SimulatedFleet fleet;
  private final List<BalancerProcess> realBalancers;
  private final Propagation simulatedPropagation;
  private final Propagation realPropagation;
  private final PrintStream out;

  /** One phase; returns how many balancers are behind at its end. */
  interface Phase {

    int run() throws InterruptedException, IOException;
  }

  /** The counters at the beginning of a phase; processor times in ns and, of real ones, in ms. */
  private record Baseline(
      long atNanos,
      Traffic.Snapshot simulatedTraffic,
      Traffic.Snapshot realTraffic,
      long simulatedCpuNanos,
      double realCpuMillis,
      long fullLists,
      long deltas,
      long failedCalls) {}

  PhaseRecorder(
      ControlCommand options,
      DiscoveryStandIn discovery,
      SimulatedFleet fleet,
      List<BalancerProcess> realBalancers,
      Propagation simulatedPropagation,
      Propagation realPropagation,
      PrintStream out) {
    this.options = options;
    this.discovery = discovery;
    this.fleet = fleet;
    this.realBalancers = realBalancers;
    this.simulatedPropagation = simulatedPropagation;
    this.realPropagation = realPropagation;
    this.out = out;
  }

  /** Runs a phase and prints its point. */
  void record(String name, Phase phase) throws InterruptedException, IOException {
    resetPropagation();
    measure(name, phase).print(out);
  }

  /** Likewise, and reports the heap that the phase has added. */
  void recordWithHeap(String name, Phase phase) throws InterruptedException, IOException {
    long heapBefore = usedHeapBytes();
    resetPropagation();
    Point point = measure(name, phase);
    point.results.put(
        "heap_kb_per_balancer",
        Point.rounded((usedHeapBytes() - heapBefore) / BYTES_PER_KB / options.balancers));
    point.print(out);
  }

  /** Likewise without heap, and counts also changes of the phase before it. */
  void recordRecovery(String name, Phase phase) throws InterruptedException, IOException {
    measure(name, phase).print(out);
  }

  /** Counts the time of all changes so far from now on. */
  void restartPropagation() {
    simulatedPropagation.restart(System.nanoTime());
    realPropagation.restart(System.nanoTime());
  }

  private void resetPropagation() {
    simulatedPropagation.reset();
    realPropagation.reset();
  }

  private Point measure(String name, Phase phase) throws InterruptedException, IOException {
    Baseline before = baseline();
    int behind = phase.run();
    Point point = new Point("control", options.deployment.seed);
    writeParameters(point.parameters, name);
    ObjectNode results = point.results;
    double seconds = (System.nanoTime() - before.atNanos()) / NANOS_PER_SECOND;
    int running = fleet.runningCount();
    results.put("seconds", Point.rounded(seconds));
    results.put("running", running);
    results.put("missing", behind);
    results.put("lists_taken", fleet.fullListsApplied() - before.fullLists());
    results.put("deltas_taken", fleet.deltasApplied() - before.deltas());
    results.put("calls_failed", fleet.failedCalls() - before.failedCalls());
    double cpuMicros = (fleet.cpuNanos() - before.simulatedCpuNanos()) / NANOS_PER_MICRO;
    results.put("cpu_us", Point.rounded(cpuMicros));
    results.put("cpu_us_per_balancer", Point.rounded(cpuMicros / Math.max(1, running)));
    simulatedPropagation.write(results.putObject("taking_in"));
    writeTraffic(
        results.putObject("discovery"),
        before.simulatedTraffic(),
        DiscoveryStandIn.SIMULATED_BALANCERS,
        seconds,
        running);
    if (options.real > 0) {
      writeRealBalancers(results.putObject("real_balancers"), before, seconds);
    }
    return point;
  }

  private void writeParameters(ObjectNode parameters, String phase) {
    parameters
        .put("phase", phase)
        .put("balancers", options.balancers)
        .put("list", options.list)
        .put("real", options.real)
        .put("zones", options.deployment.zones)
        .put("tier", options.tier())
        .put("loops", options.loops)
        .put("changes_a_day", options.changesADay)
        .put("outage_s", options.outage)
        .put("refuse", options.refuse)
        .put("keeps_history", options.keepsHistory);
  }

  private void writeRealBalancers(ObjectNode results, Baseline before, double seconds)
      throws IOException {
    realPropagation.write(results.putObject("taking_in"));
    double cpuMillis = realCpuMillis() - before.realCpuMillis();
    results.put("cpu_us_per_balancer", cpuMillis * MICROS_PER_MILLI / options.real);
    writeTraffic(
        results.putObject("discovery"),
        before.realTraffic(),
        DiscoveryStandIn.REAL_BALANCERS,
        seconds,
        options.real);
  }

  private Baseline baseline() throws IOException {
    return new Baseline(
        System.nanoTime(),
        discovery.traffic(DiscoveryStandIn.SIMULATED_BALANCERS),
        discovery.traffic(DiscoveryStandIn.REAL_BALANCERS),
        fleet.cpuNanos(),
        realCpuMillis(),
        fleet.fullListsApplied(),
        fleet.deltasApplied(),
        fleet.failedCalls());
  }

  private double realCpuMillis() throws IOException {
    double sum = 0;
    for (BalancerProcess balancer : realBalancers) {
      sum += balancer.cpuMillis();
    }
    return sum;
  }

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Writes totals, the peak second, means per balancer and second, and each second's sum. */
  private void writeTraffic(
      ObjectNode results, Traffic.Snapshot before, int address, double seconds, int balancers) {
    Traffic.Snapshot after = discovery.traffic(address);
    for (Metric metric : Metric.values()) {
      String name = metric.name().toLowerCase(Locale.ROOT);
      long total = after.total(metric) - before.total(metric);
      results.put(name, total);
      results.put(name + "_peak_a_second", after.peak(before, metric));
      if (metric == Metric.REQUESTS || metric == Metric.BYTES_IN || metric == Metric.BYTES_OUT) {
        results.put(
            name + "_per_balancer_second", Point.rounded(total / seconds / Math.max(1, balancers)));
      }
      if (address == DiscoveryStandIn.SIMULATED_BALANCERS
          && (metric == Metric.REQUESTS || metric == Metric.BYTES_OUT)) {
        ArrayNode eachSecond = results.putArray(name + "_each_second");
        for (long second : after.since(before, metric)) {
          eachSecond.add(second);
        }
      }
    }
  }
}
