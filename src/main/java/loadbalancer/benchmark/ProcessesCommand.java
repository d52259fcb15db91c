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
 * Real balancers by the deploy file's {@code run}, against list length: time to ready, processor
 * time until then, memory at rest, after whole lists have come again, and with callers' connections
 * open.
 */
@Command(
    name = "processes",
    description = "Measures start and memory of real balancers.",
    mixinStandardHelpOptions = true)
final class ProcessesCommand implements Callable<Integer> {

  private static final int LONGEST_LIST = 20_000;
  private static final double NANOS = 1e9;
  private static final int MOST_VERSIONS = 1_000;
  private static final long LOOK_MS = 5;

  /** How long a balancer rests before its memory is read: its first second still loads classes. */
  private static final long SETTLE_MS = 1_500;

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
      description = "Whole lists that come after the first.")
  private int resyncs;

  @Option(
      names = "--connections",
      split = ",",
      defaultValue = "0",
      description = "Callers' connections open at each, one number after another, upwards.")
  private List<Integer> connections;

  @Mixin private DeploymentOptions deployment;

  @Option(names = "--tier", defaultValue = "1", description = "0 where clients arrive, else 1.")
  private int tier;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Arguments.each("--lists", lists, 1, LONGEST_LIST);
    Arguments.within("--count", count, 1, 64);
    Arguments.within("--resyncs", resyncs, 0, 100);
    Arguments.each("--connections", connections, 0, 300);
    deployment.check();
    Arguments.within("--tier", tier, 0, 1);
    Machine.check(0, count);
    for (int length : lists) {
      measure(length).print(System.out);
    }
    return 0;
  }

  private Point measure(int length) throws IOException, InterruptedException {
    Point point = new Point("processes", deployment.seed);
    point
        .parameters
        .put("list", length)
        .put("count", count)
        .put("resyncs", resyncs)
        .put("zones", deployment.zones)
        .put("tier", tier);
    List<Entry> entries = Fleet.entries(length, deployment.zones);
    List<Socket> open = new ArrayList<>();
    List<BalancerProcess> balancers = List.of();
    Acknowledgements acknowledged = new Acknowledgements();
    DiscoveryStandIn discovery = new DiscoveryStandIn(entries, acknowledged);
    try {
      balancers =
          BalancerProcess.start(
              count, BalancerProcess.run(), discovery, deployment.seed, tier, deployment.zones);
      Point.spread(point.results, "ready_ms", each(balancers, BalancerProcess::readyMillis));
      Point.spread(point.results, "ready_cpu_ms", each(balancers, BalancerProcess::readyCpuMillis));
      TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
      memory(point, "rest", balancers);
      double[] cpu = each(balancers, BalancerProcess::cpuMillis);
      double slowest = 0;
      for (int i = 0; i < resyncs; i++) {
        slowest = Math.max(slowest, resync(discovery, acknowledged));
      }
      double[] after = each(balancers, BalancerProcess::cpuMillis);
      for (int i = 0; i < cpu.length; i++) {
        cpu[i] = (after[i] - cpu[i]) / Math.max(1, resyncs);
      }
      point.results.put("resync_slowest_ms", slowest);
      Point.spread(point.results, "resync_cpu_ms", cpu);
      memory(point, "resynced", balancers);
      for (int wanted : connections) {
        for (BalancerProcess balancer : balancers) {
          for (int i = open.size() / count; i < wanted; i++) {
            open.add(connect(balancer, i));
          }
        }
        if (wanted > 0) {
          memory(point, "connections_" + wanted, balancers);
        }
      }
      for (BalancerProcess balancer : balancers) {
        balancer.checkAlive();
      }
    } finally {
      for (Socket socket : open) {
        socket.close();
      }
      balancers.forEach(BalancerProcess::close);
      discovery.close();
    }
    return point;
  }

  private static Socket connect(BalancerProcess balancer, int open) {
    try {
      return balancer.health();
    } catch (IOException e) {
      throw new BenchmarkException(
          "a balancer with " + open + " connections took no further one: " + e.getMessage());
    }
  }

  /** Has everybody take in the whole list; the time in ms until the last asks on from it. */
  private double resync(DiscoveryStandIn discovery, Acknowledgements acknowledged)
      throws InterruptedException {
    long begun = System.nanoTime();
    long version = discovery.resync();
    double seconds = 0;
    while (acknowledged.balancers.get((int) version) < count) {
      seconds = (System.nanoTime() - begun) / NANOS;
      if (seconds > BalancerProcess.READY_SECONDS) {
        throw new BenchmarkException("a balancer did not take in its list in " + seconds + " s");
      }
      TimeUnit.MILLISECONDS.sleep(LOOK_MS);
    }
    return seconds * 1_000;
  }

  /** How many balancers have asked on from each version. */
  private static final class Acknowledgements implements DiscoveryStandIn.Listener {

    private final AtomicLongArray balancers = new AtomicLongArray(MOST_VERSIONS);

    @Override
    public void changed(long version) {
      // Only what was taken in counts.
    }

    @Override
    public void acknowledged(long after, long version) {
      for (long each = after + 1; each <= version; each++) {
        balancers.incrementAndGet((int) each);
      }
    }
  }

  /** A figure of one balancer. */
  private interface Figure {

    double of(BalancerProcess balancer) throws IOException;
  }

  private static double[] each(List<BalancerProcess> balancers, Figure figure) throws IOException {
    double[] values = new double[balancers.size()];
    for (int i = 0; i < values.length; i++) {
      values[i] = figure.of(balancers.get(i));
    }
    return values;
  }

  private static void memory(Point point, String when, List<BalancerProcess> balancers)
      throws IOException {
    Point.spread(point.results, when + "_rss_kb", each(balancers, b -> b.memoryKb("VmRSS")));
    Point.spread(
        point.results, when + "_anonymous_kb", each(balancers, b -> b.memoryKb("RssAnon")));
    Point.spread(point.results, when + "_most_kb", each(balancers, b -> b.memoryKb("VmHWM")));
  }
}
