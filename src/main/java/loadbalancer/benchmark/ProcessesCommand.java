package loadbalancer.benchmark;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import loadbalancer.benchmark.Fleet.Entry;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures real balancers, started by the deploy file's {@code run}, against list length: time and
 * processor time until ready, and memory at rest, after further full lists and with client
 * connections open.
 */
@Command(
    name = "processes",
    description = "Measures start and memory of real balancers.",
    mixinStandardHelpOptions = true)
final class ProcessesCommand implements Callable<Integer> {

  private static final int DEFAULT_TIER = 1;
  private static final int MAX_LIST_LENGTH = 20_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int MAX_VERSIONS = 1_000;
  private static final long POLL_INTERVAL_MILLIS = 5;

  /** The time before memory is read, as the first second still loads classes. */
  private static final long SETTLE_MILLIS = 1_500;

  @Option(
      names = "--lists",
      split = ",",
      defaultValue = "10,100,1000,4000",
      description = "Lengths of the list.")
  private List<Integer> lists;

  @Option(names = "--count", defaultValue = "3", description = "Balancers that start together.")
  private int count;

  @Option(
      names = "--resyncs",
      defaultValue = "5",
      description = "Full lists that come after the first.")
  private int resyncs;

  @Option(
      names = "--connections",
      split = ",",
      defaultValue = "0",
      description = "Client connections open at each, one number after another, upwards.")
  private List<Integer> connections;

  @Mixin private DeploymentOptions deployment;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Arguments.requireEachBetween("--lists", lists, 1, MAX_LIST_LENGTH);
    Arguments.requireBetween("--count", count, 1, 64);
    Arguments.requireBetween("--resyncs", resyncs, 0, 100);
    Arguments.requireEachBetween("--connections", connections, 0, 300);
    deployment.check();
    Machine.requireCapacity(0, count);
    for (int length : lists) {
      measure(length).print(System.out);
    }
    return 0;
  }

  private Point measure(int length) throws IOException, InterruptedException {
    Point point = new Point("processes", deployment.seed);
    int tier = deployment.tierOr(DEFAULT_TIER);
    point
        .parameters
        .put("list", length)
        .put("count", count)
        .put("resyncs", resyncs)
        .put("zones", deployment.zones)
        .put("tier", tier);
    List<Entry> entries = Fleet.entries(length, deployment.zones);
    Acknowledgements acknowledged = new Acknowledgements();
    try (DiscoveryStandIn discovery = new DiscoveryStandIn(entries, acknowledged)) {
      List<BalancerProcess> balancers =
          BalancerProcess.start(
              count,
              BalancerProcess.readRunCommand(),
              discovery,
              deployment.seed,
              tier,
              deployment.zones);
      try {
        measureStart(point, balancers);
        measureResyncs(point, balancers, discovery, acknowledged);
        measureConnections(point, balancers);
      } finally {
        balancers.forEach(BalancerProcess::close);
      }
    }
    return point;
  }

  private static void measureStart(Point point, List<BalancerProcess> balancers)
      throws IOException, InterruptedException {
    Point.putSpread(point.results, "ready_ms", each(balancers, BalancerProcess::readyMillis));
    Point.putSpread(
        point.results, "ready_cpu_ms", each(balancers, BalancerProcess::readyCpuMillis));
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    putMemory(point, "rest", balancers);
  }

  private void measureResyncs(
      Point point,
      List<BalancerProcess> balancers,
      DiscoveryStandIn discovery,
      Acknowledgements acknowledged)
      throws IOException, InterruptedException {
    double[] cpuMillis = each(balancers, BalancerProcess::cpuMillis);
    double slowestMillis = 0;
    for (int i = 0; i < resyncs; i++) {
      slowestMillis = Math.max(slowestMillis, resync(discovery, acknowledged));
    }
    double[] after = each(balancers, BalancerProcess::cpuMillis);
    for (int i = 0; i < cpuMillis.length; i++) {
      cpuMillis[i] = (after[i] - cpuMillis[i]) / Math.max(1, resyncs);
    }
    point.results.put("resync_slowest_ms", slowestMillis);
    Point.putSpread(point.results, "resync_cpu_ms", cpuMillis);
    putMemory(point, "resynced", balancers);
  }

  private void measureConnections(Point point, List<BalancerProcess> balancers) throws IOException {
    List<Socket> open = new ArrayList<>();
    try {
      for (int target : connections) {
        for (BalancerProcess balancer : balancers) {
          for (int i = open.size() / count; i < target; i++) {
            open.add(connect(balancer, i));
          }
        }
        if (target > 0) {
          putMemory(point, "connections_" + target, balancers);
        }
      }
      for (BalancerProcess balancer : balancers) {
        balancer.checkAlive();
      }
    } finally {
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  private static Socket connect(BalancerProcess balancer, int open) {
    try {
      return balancer.connectHealthy();
    } catch (IOException e) {
      throw new BenchmarkException(
          "a balancer with " + open + " connections took no further one: " + e.getMessage());
    }
  }

  /** Sends a full list to all; returns the milliseconds until all have acknowledged it. */
  private double resync(DiscoveryStandIn discovery, Acknowledgements acknowledged)
      throws InterruptedException {
    long begun = System.nanoTime();
    long version = discovery.resync();
    double seconds = 0;
    while (acknowledged.balancers.get((int) version) < count) {
      seconds = (System.nanoTime() - begun) / NANOS_PER_SECOND;
      if (seconds > BalancerProcess.READY_TIMEOUT_SECONDS) {
        throw new BenchmarkException("a balancer did not take in its list in " + seconds + " s");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
    }
    return seconds * 1_000;
  }

  /** How many balancers have acknowledged each version. */
  private static final class Acknowledgements implements DiscoveryStandIn.Listener {

    private final AtomicLongArray balancers = new AtomicLongArray(MAX_VERSIONS);

    @Override
    public void changed(long version) {
      // Only acknowledgements are counted.
    }

    @Override
    public void acknowledged(long after, long version) {
      for (long each = after + 1; each <= version; each++) {
        balancers.incrementAndGet((int) each);
      }
    }
  }

  /** Reads a value of one balancer. */
  private interface Measurement {

    double of(BalancerProcess balancer) throws IOException;
  }

  private static double[] each(List<BalancerProcess> balancers, Measurement figure)
      throws IOException {
    double[] values = new double[balancers.size()];
    for (int i = 0; i < values.length; i++) {
      values[i] = figure.of(balancers.get(i));
    }
    return values;
  }

  private static void putMemory(Point point, String when, List<BalancerProcess> balancers)
      throws IOException {
    Point.putSpread(point.results, when + "_rss_kb", each(balancers, b -> b.memoryKb("VmRSS")));
    Point.putSpread(
        point.results, when + "_anonymous_kb", each(balancers, b -> b.memoryKb("RssAnon")));
    Point.putSpread(point.results, when + "_most_kb", each(balancers, b -> b.memoryKb("VmHWM")));
  }
}
