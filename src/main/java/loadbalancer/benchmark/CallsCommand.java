package loadbalancer.benchmark;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.io.UncheckedIOException;
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
 * Measures processor time, bytes allocated and operations of a request, a change, an empty update
 * and a full list against the length of the list: of the policy alone, and of parsing a list. Run
 * it with the JVM flags of the deploy file's {@code run}, which choose the compiler.
 */
@Command(
    name = "calls",
    description = "Measures a call, a change and a full list against list length.",
    mixinStandardHelpOptions = true)
final class CallsCommand implements Callable<Integer> {

  private static final double NANOS_PER_MICRO = 1e3;
  private static final int DEFAULT_TIER = 0;
  private static final int MAX_LIST_LENGTH = 20_000;
  private static final int MAX_REPEATS = 50;
  private static final int COUNTED_REQUESTS = 200;

  /** How long an idle upstream connection is kept, by the limit in {@link Fleet}. */
  private static final double IDLE_TIMEOUT_MILLIS = 21_000;

  private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

  @Option(
      names = "--lists",
      split = ",",
      defaultValue = "10,30,100,300,1000,4000",
      description = "Lengths of the list (default ${DEFAULT-VALUE}).")
  private List<Integer> lists;

  @Mixin private DeploymentOptions deployment;

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
    Arguments.requireEachBetween("--lists", lists, 1, MAX_LIST_LENGTH);
    deployment.check();
    Arguments.requireBetween("--rate", rate, 1, 10_000);
    Arguments.requireBetween("--repeats", repeats, 1, MAX_REPEATS);
    Arguments.requireBetween("--batch-ms", batchMillis, 1, 1_000);
    Machine.requireCapacity(0, 0);
    for (int length : lists) {
      measure(length).print(System.out);
    }
    return 0;
  }

  private Point measure(int length) throws IOException {
    Point point = createPoint(length);
    SimulatedBalancer.Template template = createTemplate(length);
    byte[] body =
        Fleet.list(1, true, Fleet.entries(length, deployment.zones))
            .getBytes(StandardCharsets.US_ASCII);
    List<Endpoint> list = template.list(body);
    count(point, template, list);
    PolicyRun run = new PolicyRun(template.settings(), list, rate, deployment.seed);
    time(point, "call", run::handleRequest);
    time(point, "change", run::changeOneEndpoint);
    time(point, "no_news", run::emptyUpdate);
    time(point, "list", run::fullList);
    time(point, "parse", () -> parse(template, body));
    // A new run: requests in flight have become late while changes were timed.
    point.results.put(
        "reached",
        new PolicyRun(template.settings(), list, rate, deployment.seed)
            .endpointsReached(IDLE_TIMEOUT_MILLIS));
    point.results.put("list_bytes", body.length);
    return point;
  }

  private Point createPoint(int length) {
    Point point = new Point("calls", deployment.seed);
    point
        .parameters
        .put("list", length)
        .put("zones", deployment.zones)
        .put("tier", deployment.tierOr(DEFAULT_TIER))
        .put("rate", rate)
        .put("batch_ms", batchMillis);
    return point;
  }

  private SimulatedBalancer.Template createTemplate(int length) {
    return SimulatedBalancer.Template.parse(
        Fleet.config(
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
            deployment.seed,
            length,
            deployment.tierOr(DEFAULT_TIER),
            deployment.zones));
  }

  private static void parse(SimulatedBalancer.Template template, byte[] body) {
    try {
      template.list(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Counts operations, which don't depend on the machine. */
  static void count(Point point, SimulatedBalancer.Template template, List<Endpoint> list) {
    PolicyRun.EndpointChecks checks = new PolicyRun.EndpointChecks();
    PolicyRun run =
        new PolicyRun(PolicyRun.withEndpointChecks(template.settings(), checks), list, 147, 1);
    for (int i = 0; i < COUNTED_REQUESTS; i++) {
      run.handleRequest();
    }
    point.results.put("call_looks", (double) checks.count() / COUNTED_REQUESTS);
    point.results.put("call_sends", (double) run.attemptsSent() / COUNTED_REQUESTS);
    point.results.put("call_timers", (double) run.timersSet() / COUNTED_REQUESTS);
  }

  /** Times batches of a fixed processor time; warm-up batches find how many calls make one. */
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
      each[i] = (threads.getCurrentThreadCpuTime() - before) / NANOS_PER_MICRO / times;
      allocated[i] = (double) (threads.getThreadAllocatedBytes(id) - bytes) / times;
    }
    Point.putSpread(point.results, name + "_us", each);
    Point.putSpread(point.results, name + "_allocated_bytes", allocated);
  }

  private static void repeat(Runnable work, int times) {
    for (int i = 0; i < times; i++) {
      work.run();
    }
  }
}
