package loadbalancer.benchmark;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import loadbalancer.benchmark.SyntheticDeployment.EndpointEntry;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures real balancers, started with the command {@code run} in deploy/balancer.toml, with
 * endpoint lists of different lengths: time and processor time until they are ready, processor time
 * per further full list, and memory in up to three states: at rest, after these lists, and with
 * open client connections.
 */
@Command(
    name = "processes",
    description =
        "Measures start time, processor time and memory of real balancer processes, depending"
            + " on the length of the endpoint list.",
    mixinStandardHelpOptions = true)
final class ProcessesCommand implements Callable<Integer> {

  private static final int DEFAULT_TIER = 1;
  private static final int MAX_LIST_LENGTH = 20_000;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Size of the array of acknowledgements by version. Ample: a run has at most 101 versions, the
   * first one and one per resync.
   */
  private static final int MAX_VERSIONS = 1_000;

  private static final long POLL_INTERVAL_MILLIS = 5;

  /** The wait before memory is read, as a balancer still loads classes in its first second. */
  private static final long SETTLE_MILLIS = 1_500;

  @Option(
      names = "--lists",
      split = ",",
      defaultValue = "10,100,1000,4000",
      description =
          "Numbers of endpoints in the list, each measured on its own (default ${DEFAULT-VALUE}).")
  private List<Integer> listLengths;

  @Option(
      names = "--count",
      defaultValue = "3",
      description = "Number of balancers that start at the same time (default ${DEFAULT-VALUE}).")
  private int balancerCount;

  @Option(
      names = "--resyncs",
      defaultValue = "5",
      description =
          "Number of full lists that discovery sends after the first (default ${DEFAULT-VALUE}).")
  private int resyncCount;

  @Option(
      names = "--connections",
      split = ",",
      defaultValue = "0",
      description =
          "Numbers of client connections to each balancer at which memory is read, in ascending"
              + " order (default ${DEFAULT-VALUE}).")
  private List<Integer> connectionCounts;

  @Mixin private DeploymentOptions deployment;

  @Override
  public Integer call() throws IOException, InterruptedException {
    OptionValidator.requireEachBetween("--lists", listLengths, 1, MAX_LIST_LENGTH);
    OptionValidator.requireBetween("--count", balancerCount, 1, 64);
    OptionValidator.requireBetween("--resyncs", resyncCount, 0, 100);
    OptionValidator.requireEachBetween("--connections", connectionCounts, 0, 300);
    deployment.validate();
    BenchmarkMachine.requireCapacity(0, balancerCount);
    for (int listLength : listLengths) {
      measure(listLength).print(System.out);
    }
    return 0;
  }

  private MeasuredPoint measure(int listLength) throws IOException, InterruptedException {
    MeasuredPoint point = new MeasuredPoint("processes", deployment.seed);
    int tier = deployment.tierOr(DEFAULT_TIER);
    point
        .parameters
        .put("list", listLength)
        .put("count", balancerCount)
        .put("resyncs", resyncCount)
        .put("zones", deployment.zones)
        .put("tier", tier);
    List<EndpointEntry> entries = SyntheticDeployment.entries(listLength, deployment.zones);
    Acknowledgements acknowledgements = new Acknowledgements();
    try (FakeDiscoveryService discovery = new FakeDiscoveryService(entries, acknowledgements)) {
      List<BalancerProcess> balancers =
          BalancerProcess.start(
              balancerCount,
              BalancerProcess.readRunCommand(),
              discovery,
              deployment.seed,
              tier,
              deployment.zones);
      try {
        measureStart(point, balancers);
        measureResyncs(point, balancers, discovery, acknowledgements);
        measureConnections(point, balancers);
      } finally {
        balancers.forEach(BalancerProcess::close);
      }
    }
    return point;
  }

  private static void measureStart(MeasuredPoint point, List<BalancerProcess> balancers)
      throws IOException, InterruptedException {
    MeasuredPoint.putSpread(
        point.results, "ready_ms", readAll(balancers, BalancerProcess::readyMillis));
    MeasuredPoint.putSpread(
        point.results, "ready_cpu_ms", readAll(balancers, BalancerProcess::readyCpuMillis));
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    putMemory(point, "rest", balancers);
  }

  private void measureResyncs(
      MeasuredPoint point,
      List<BalancerProcess> balancers,
      FakeDiscoveryService discovery,
      Acknowledgements acknowledgements)
      throws IOException, InterruptedException {
    // First the totals before the resyncs, then the processor time per resync.
    double[] cpuMillis = readAll(balancers, BalancerProcess::cpuMillis);
    double slowestMillis = 0;
    for (int i = 0; i < resyncCount; i++) {
      slowestMillis = Math.max(slowestMillis, resync(discovery, acknowledgements));
    }
    double[] cpuAfter = readAll(balancers, BalancerProcess::cpuMillis);
    for (int i = 0; i < cpuMillis.length; i++) {
      cpuMillis[i] = (cpuAfter[i] - cpuMillis[i]) / Math.max(1, resyncCount);
    }
    point.results.put("resync_slowest_ms", slowestMillis);
    MeasuredPoint.putSpread(point.results, "resync_cpu_ms", cpuMillis);
    putMemory(point, "resynced", balancers);
  }

  private void measureConnections(MeasuredPoint point, List<BalancerProcess> balancers)
      throws IOException {
    List<Socket> openSockets = new ArrayList<>();
    try {
      for (int connectionCount : connectionCounts) {
        for (BalancerProcess balancer : balancers) {
          for (int i = openSockets.size() / balancerCount; i < connectionCount; i++) {
            openSockets.add(connect(balancer, i));
          }
        }
        if (connectionCount > 0) {
          putMemory(point, "connections_" + connectionCount, balancers);
        }
      }
      for (BalancerProcess balancer : balancers) {
        balancer.checkAlive();
      }
    } finally {
      for (Socket socket : openSockets) {
        socket.close();
      }
    }
  }

  private static Socket connect(BalancerProcess balancer, int openCount) {
    try {
      return balancer.connectHealthy();
    } catch (IOException e) {
      throw new BenchmarkException(
          "balancer at "
              + balancer.address()
              + " with "
              + openCount
              + " client connections accepted no further one: "
              + e.getMessage());
    }
  }

  /**
   * Sends a full list to all balancers; returns the milliseconds until all have acknowledged it.
   */
  private double resync(FakeDiscoveryService discovery, Acknowledgements acknowledgements)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    long version = discovery.resync();
    double seconds = 0;
    while (acknowledgements.balancerCounts.get((int) version) < balancerCount) {
      seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
      if (seconds > BalancerProcess.READY_TIMEOUT_SECONDS) {
        throw new BenchmarkException(
            "only "
                + acknowledgements.balancerCounts.get((int) version)
                + " of "
                + balancerCount
                + " balancers have acknowledged their full list within "
                + seconds
                + " s");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
    }
    return seconds * 1_000;
  }

  /** Counts how many balancers have acknowledged each version. */
  private static final class Acknowledgements implements FakeDiscoveryService.Listener {

    private final AtomicLongArray balancerCounts = new AtomicLongArray(MAX_VERSIONS);

    @Override
    public void versionCreated(long version) {
      // Only acknowledgements matter.
    }

    @Override
    public void versionAcknowledged(long previousVersion, long version) {
      for (long acknowledged = previousVersion + 1; acknowledged <= version; acknowledged++) {
        balancerCounts.incrementAndGet((int) acknowledged);
      }
    }
  }

  /** A value that is read from a balancer. */
  private interface Measurement {

    double read(BalancerProcess balancer) throws IOException;
  }

  private static double[] readAll(List<BalancerProcess> balancers, Measurement measurement)
      throws IOException {
    double[] values = new double[balancers.size()];
    for (int i = 0; i < values.length; i++) {
      values[i] = measurement.read(balancers.get(i));
    }
    return values;
  }

  private static void putMemory(
      MeasuredPoint point, String keyPrefix, List<BalancerProcess> balancers) throws IOException {
    MeasuredPoint.putSpread(
        point.results, keyPrefix + "_rss_kb", readAll(balancers, b -> b.memoryKb("VmRSS")));
    MeasuredPoint.putSpread(
        point.results, keyPrefix + "_anonymous_kb", readAll(balancers, b -> b.memoryKb("RssAnon")));
    MeasuredPoint.putSpread(
        point.results, keyPrefix + "_most_kb", readAll(balancers, b -> b.memoryKb("VmHWM")));
  }
}
