package loadbalancer.benchmark;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.model.Endpoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Processor time, bytes allocated and operations of a call, of a change, of news that has none and
 * of a whole list, against the length of the list: of the module alone, and of reading a list as
 * the node does. Run it with the flags of the deploy file's run, since the compiler that they
 * choose decides much of it.
 */
@Command(
    name = "calls",
    description = "Measures a call, a change and a whole list against list length.",
    mixinStandardHelpOptions = true)
final class CallsCommand implements Callable<Integer> {

  private static final double NANOS_PER_US = 1e3;
  private static final int LONGEST_LIST = 20_000;
  private static final int MOST_REPEATS = 50;
  private static final int COUNTED_CALLS = 200;

  /** For how long the node keeps an idle connection, by the limit that {@link Fleet} states. */
  private static final double IDLE_MS = 21_000;

  private static final InetSocketAddress NOWHERE = new InetSocketAddress("127.0.0.1", 1);

  @Option(
      names = "--lists",
      split = ",",
      defaultValue = "10,30,100,300,1000,4000",
      description = "Lengths of the list (default ${DEFAULT-VALUE}).")
  private List<Integer> lists;

  @Mixin private DeploymentOptions deployment;

  @Option(names = "--tier", defaultValue = "0", description = "0 where clients arrive, else 1.")
  private int tier;

  @Option(
      names = "--rate",
      defaultValue = "147",
      description = "Calls a second at the balancer (default ${DEFAULT-VALUE}).")
  private double rate;

  @Option(
      names = "--repeats",
      defaultValue = "7",
      description = "Batches (default ${DEFAULT-VALUE}).")
  private int repeats;

  @Option(
      names = "--batch-ms",
      defaultValue = "60",
      description = "Processor time of a batch (default ${DEFAULT-VALUE}).")
  private int batchMillis;

  @Override
  public Integer call() throws IOException {
    Arguments.each("--lists", lists, 1, LONGEST_LIST);
    deployment.check();
    Arguments.within("--tier", tier, 0, 1);
    Arguments.within("--rate", rate, 1, 10_000);
    Arguments.within("--repeats", repeats, 1, MOST_REPEATS);
    Arguments.within("--batch-ms", batchMillis, 1, 1_000);
    Machine.check(0, 0);
    for (int length : lists) {
      measure(length).print(System.out);
    }
    return 0;
  }

  private Point measure(int length) throws IOException {
    Point point = new Point("calls", deployment.seed);
    point
        .parameters
        .put("list", length)
        .put("zones", deployment.zones)
        .put("tier", tier)
        .put("rate", rate)
        .put("batch_ms", batchMillis);
    SimulatedBalancer.Template template =
        SimulatedBalancer.Template.parse(
            Fleet.config(NOWHERE, NOWHERE, deployment.seed, length, tier, deployment.zones));
    byte[] body =
        Fleet.list(1, true, Fleet.entries(length, deployment.zones))
            .getBytes(StandardCharsets.US_ASCII);
    List<Endpoint> list = template.list(body);
    count(point, template, list);
    PolicyRun run = new PolicyRun(template.settings(), list, rate, deployment.seed);
    time(point, "call", run::call);
    time(point, "change", run::change);
    time(point, "no_news", run::noNews);
    time(point, "list", run::whole);
    time(
        point,
        "parse",
        () -> {
          try {
            template.list(body);
          } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
        });
    // Of its own: while changes were timed, the calls that were out have become late.
    point.results.put(
        "reached",
        new PolicyRun(template.settings(), list, rate, deployment.seed).reached(IDLE_MS));
    point.results.put("list_bytes", body.length);
    return point;
  }

  /** What doesn't depend on the machine. */
  static void count(Point point, SimulatedBalancer.Template template, List<Endpoint> list) {
    PolicyRun.Looks looks = new PolicyRun.Looks();
    PolicyRun run = new PolicyRun(PolicyRun.counted(template.settings(), looks), list, 147, 1);
    for (int i = 0; i < COUNTED_CALLS; i++) {
      run.call();
    }
    point.results.put("call_looks", (double) looks.count() / COUNTED_CALLS);
    point.results.put("call_sends", (double) run.sends() / COUNTED_CALLS);
    point.results.put("call_timers", (double) run.timersSet() / COUNTED_CALLS);
  }

  /** Batches of a fixed processor time, after warm-up batches that also find how many make one. */
  private void time(Point point, String name, Runnable work) {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long wanted = batchMillis * 1_000_000L;
    int times = 1;
    for (long spent = 0, before; spent < wanted; times = spent < wanted ? times * 2 : times) {
      before = threads.getCurrentThreadCpuTime();
      repeat(work, times);
      spent = threads.getCurrentThreadCpuTime() - before;
    }
    repeat(work, times);
    double[] each = new double[repeats];
    double[] allocated = new double[repeats];
    long id = Thread.currentThread().getId();
    for (int i = 0; i < repeats; i++) {
      long bytes = threads.getThreadAllocatedBytes(id);
      long before = threads.getCurrentThreadCpuTime();
      repeat(work, times);
      each[i] = (threads.getCurrentThreadCpuTime() - before) / NANOS_PER_US / times;
      allocated[i] = (double) (threads.getThreadAllocatedBytes(id) - bytes) / times;
    }
    Point.spread(point.results, name + "_us", each);
    Point.spread(point.results, name + "_allocated_bytes", allocated);
  }

  private static void repeat(Runnable work, int times) {
    for (int i = 0; i < times; i++) {
      work.run();
    }
  }
}
