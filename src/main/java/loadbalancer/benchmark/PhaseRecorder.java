package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import loadbalancer.benchmark.DiscoveryTraffic.Metric;

/** Runs the phases of the command {@code control} and prints what each has cost as a point. */
final class PhaseRecorder {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final int MICROS_PER_MILLI = 1_000;
  private static final double BYTES_PER_KB = 1_024;

  private final ControlCommand options;
  private final FakeDiscoveryService discovery;
  private final SimulatedBalancerFleet fleet;
  private final List<BalancerProcess> realBalancers;
  private final PropagationTimes simulatedTimes;
  private final PropagationTimes realTimes;
  private final PrintStream out;

  /** A phase of the command {@code control}. */
  interface Phase {

    /**
     * Runs the phase; returns how many simulated balancers did not get a version within the
     * timeout, added up over the versions that the phase waits for.
     */
    int run() throws InterruptedException, IOException;
  }

  /** The counters at the beginning of a phase, from which those at its end are subtracted. */
  private record Baseline(
      long startNanos,
      DiscoveryTraffic.Snapshot simulatedTraffic,
      DiscoveryTraffic.Snapshot realTraffic,
      long simulatedCpuNanos,
      double realCpuMillis,
      long fullLists,
      long deltas,
      long failedCalls) {}

  PhaseRecorder(
      ControlCommand options,
      FakeDiscoveryService discovery,
      SimulatedBalancerFleet fleet,
      List<BalancerProcess> realBalancers,
      PropagationTimes simulatedTimes,
      PropagationTimes realTimes,
      PrintStream out) {
    this.options = options;
    this.discovery = discovery;
    this.fleet = fleet;
    this.realBalancers = realBalancers;
    this.simulatedTimes = simulatedTimes;
    this.realTimes = realTimes;
    this.out = out;
  }

  /**
   * Runs a phase and prints its results as a {@link MeasuredPoint}. Propagation times are those of
   * changes in this phase.
   */
  void record(String phaseName, Phase phase) throws InterruptedException, IOException {
    resetPropagation();
    measure(phaseName, phase).print(out);
  }

  /** Runs a phase as {@link #record} does, and reports also by how much the used heap has grown. */
  void recordWithHeap(String phaseName, Phase phase) throws InterruptedException, IOException {
    long heapBefore = usedHeapBytes();
    resetPropagation();
    MeasuredPoint point = measure(phaseName, phase);
    point.results.put(
        "heap_kb_per_balancer",
        MeasuredPoint.rounded(
            (usedHeapBytes() - heapBefore) / BYTES_PER_KB / options.balancerCount));
    point.print(out);
  }

  /**
   * Runs a phase and prints its results as a {@link MeasuredPoint}. Propagation times include those
   * of changes in the phase before it, the outage.
   */
  void recordRecovery(String phaseName, Phase phase) throws InterruptedException, IOException {
    measure(phaseName, phase).print(out);
  }

  /** Measures the propagation of all changes recorded so far from now on, as if just made. */
  void restartPropagation() {
    simulatedTimes.restart(System.nanoTime());
    realTimes.restart(System.nanoTime());
  }

  private void resetPropagation() {
    simulatedTimes.reset();
    realTimes.reset();
  }

  private MeasuredPoint measure(String phaseName, Phase phase)
      throws InterruptedException, IOException {
    Baseline baseline = captureBaseline();
    int outdatedCount = phase.run();
    MeasuredPoint point = new MeasuredPoint("control", options.deployment.seed);
    writeParameters(point.parameters, phaseName);
    ObjectNode results = point.results;
    double elapsedSeconds = (System.nanoTime() - baseline.startNanos()) / NANOS_PER_SECOND;
    int runningCount = fleet.runningCount();
    results.put("seconds", MeasuredPoint.rounded(elapsedSeconds));
    results.put("running", runningCount);
    results.put("missing", outdatedCount);
    results.put("lists_taken", fleet.fullListsApplied() - baseline.fullLists());
    results.put("deltas_taken", fleet.deltasApplied() - baseline.deltas());
    results.put("calls_failed", fleet.failedCalls() - baseline.failedCalls());
    double cpuMicros = (fleet.cpuNanos() - baseline.simulatedCpuNanos()) / NANOS_PER_MICRO;
    results.put("cpu_us", MeasuredPoint.rounded(cpuMicros));
    results.put(
        "cpu_us_per_balancer", MeasuredPoint.rounded(cpuMicros / Math.max(1, runningCount)));
    simulatedTimes.write(results.putObject("taking_in"));
    writeDiscoveryTraffic(
        results.putObject("discovery"),
        baseline.simulatedTraffic(),
        FakeDiscoveryService.SIMULATED_BALANCERS,
        elapsedSeconds,
        runningCount);
    if (options.realBalancerCount > 0) {
      writeRealBalancers(results.putObject("real_balancers"), baseline, elapsedSeconds);
    }
    return point;
  }

  private void writeParameters(ObjectNode parameters, String phase) {
    parameters
        .put("phase", phase)
        .put("balancers", options.balancerCount)
        .put("list", options.listLength)
        .put("real", options.realBalancerCount)
        .put("zones", options.deployment.zones)
        .put("tier", options.tier())
        .put("loops", options.loopCount)
        .put("changes_a_day", options.changesPerDay)
        .put("outage_s", options.outageSeconds)
        .put("refuse", options.refuseConnections)
        .put("keeps_history", options.keepHistory);
  }

  private void writeRealBalancers(ObjectNode results, Baseline baseline, double elapsedSeconds)
      throws IOException {
    realTimes.write(results.putObject("taking_in"));
    double cpuMillis = realCpuMillis() - baseline.realCpuMillis();
    results.put("cpu_us_per_balancer", cpuMillis * MICROS_PER_MILLI / options.realBalancerCount);
    writeDiscoveryTraffic(
        results.putObject("discovery"),
        baseline.realTraffic(),
        FakeDiscoveryService.REAL_BALANCERS,
        elapsedSeconds,
        options.realBalancerCount);
  }

  private Baseline captureBaseline() throws IOException {
    return new Baseline(
        System.nanoTime(),
        discovery.traffic(FakeDiscoveryService.SIMULATED_BALANCERS),
        discovery.traffic(FakeDiscoveryService.REAL_BALANCERS),
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

  /**
   * Writes the total and the highest count in one second of each metric; for some also the mean per
   * balancer and second, and, of simulated balancers, the count in each second.
   */
  private void writeDiscoveryTraffic(
      ObjectNode results,
      DiscoveryTraffic.Snapshot baseline,
      int addressIndex,
      double elapsedSeconds,
      int balancerCount) {
    DiscoveryTraffic.Snapshot current = discovery.traffic(addressIndex);
    for (Metric metric : Metric.values()) {
      String metricKey = metric.name().toLowerCase(Locale.ROOT);
      long total = current.total(metric) - baseline.total(metric);
      results.put(metricKey, total);
      results.put(metricKey + "_peak_a_second", current.peak(baseline, metric));
      if (metric == Metric.REQUESTS || metric == Metric.BYTES_IN || metric == Metric.BYTES_OUT) {
        results.put(
            metricKey + "_per_balancer_second",
            MeasuredPoint.rounded(total / elapsedSeconds / Math.max(1, balancerCount)));
      }
      if (addressIndex == FakeDiscoveryService.SIMULATED_BALANCERS
          && (metric == Metric.REQUESTS || metric == Metric.BYTES_OUT)) {
        ArrayNode countsBySecond = results.putArray(metricKey + "_each_second");
        for (long countOfSecond : current.since(baseline, metric)) {
          countsBySecond.add(countOfSecond);
        }
      }
    }
  }
}
