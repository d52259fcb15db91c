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
 * Measures the policy in virtual time and the parser of endpoint lists, with endpoint lists of
 * different lengths: processor time and allocated bytes per request, change of one endpoint, empty
 * update, full list and parsed list, and counts of the policy's operations per request. To be run
 * with the JVM flags of the command {@code run} in deploy/balancer.toml, as they select the JIT
 * compiler.
 */
@Command(
    name = "calls",
    description =
        "Measures what a request, a change of one endpoint and a full endpoint list cost the policy,"
            + " depending on the length of that list.",
    mixinStandardHelpOptions = true)
final class CallsCommand implements Callable<Integer> {

  private static final double NANOS_PER_MICRO = 1e3;
  private static final int DEFAULT_TIER = 0;
  private static final int MAX_LIST_LENGTH = 20_000;
  private static final int MAX_REPEATS = 50;
  private static final int COUNTED_REQUESTS = 200;

  /**
   * Requests per second of the run that counts operations. Fixed, like its seed, so that the counts
   * don't depend on --rate and --seed.
   */
  private static final double COUNTING_RATE = 147;

  private static final long COUNTING_SEED = 1;

  /**
   * How long the proxy keeps an idle upstream connection: 0.7 of the limit {@code connIdle} in
   * {@link SyntheticDeployment}.
   */
  private static final double IDLE_TIMEOUT_MILLIS = 21_000;

  private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

  @Option(
      names = "--lists",
      split = ",",
      defaultValue = "10,30,100,300,1000,4000",
      description =
          "Numbers of endpoints in the list, each measured on its own (default ${DEFAULT-VALUE}).")
  private List<Integer> listLengths;

  @Mixin private DeploymentOptions deployment;

  @Option(
      names = "--rate",
      defaultValue = "147",
      description =
          "Requests per second that arrive at the balancer, in virtual time (default ${DEFAULT-VALUE}).")
  private double requestsPerSecond;

  @Option(
      names = "--repeats",
      defaultValue = "7",
      description = "Measured batches per operation (default ${DEFAULT-VALUE}).")
  private int batches;

  @Option(
      names = "--batch-ms",
      defaultValue = "60",
      description = "Processor time of a batch in milliseconds (default ${DEFAULT-VALUE}).")
  private int batchMillis;

  @Override
  public Integer call() throws IOException {
    OptionValidator.requireEachBetween("--lists", listLengths, 1, MAX_LIST_LENGTH);
    deployment.validate();
    OptionValidator.requireBetween("--rate", requestsPerSecond, 1, 10_000);
    OptionValidator.requireBetween("--repeats", batches, 1, MAX_REPEATS);
    OptionValidator.requireBetween("--batch-ms", batchMillis, 1, 1_000);
    BenchmarkMachine.requireCapacity(0, 0);
    for (int listLength : listLengths) {
      measure(listLength).print(System.out);
    }
    return 0;
  }

  private MeasuredPoint measure(int listLength) throws IOException {
    MeasuredPoint point = createPoint(listLength);
    SimulatedBalancer.Template template = createTemplate(listLength);
    byte[] listJson =
        SyntheticDeployment.listJson(
                1, true, SyntheticDeployment.entries(listLength, deployment.zones))
            .getBytes(StandardCharsets.US_ASCII);
    List<Endpoint> endpoints = template.parseEndpoints(listJson);
    countOperations(point, template, endpoints);
    VirtualTimePolicyRun run =
        new VirtualTimePolicyRun(
            template.settings(), endpoints, requestsPerSecond, deployment.seed);
    measureCost(point, "call", run::handleRequest);
    measureCost(point, "change", run::changeOneEndpoint);
    measureCost(point, "no_news", run::emptyUpdate);
    measureCost(point, "list", run::fullList);
    measureCost(point, "parse", () -> parse(template, listJson));
    // In a separate run, as the changes above have advanced the virtual time of the first one by so
    // much that its requests in flight are late.
    point.results.put(
        "reached",
        new VirtualTimePolicyRun(template.settings(), endpoints, requestsPerSecond, deployment.seed)
            .countEndpointsReached(IDLE_TIMEOUT_MILLIS));
    point.results.put("list_bytes", listJson.length);
    return point;
  }

  private MeasuredPoint createPoint(int listLength) {
    MeasuredPoint point = new MeasuredPoint("calls", deployment.seed);
    point
        .parameters
        .put("list", listLength)
        .put("zones", deployment.zones)
        .put("tier", deployment.tierOr(DEFAULT_TIER))
        .put("rate", requestsPerSecond)
        .put("batch_ms", batchMillis);
    return point;
  }

  private SimulatedBalancer.Template createTemplate(int listLength) {
    return SimulatedBalancer.Template.parse(
        SyntheticDeployment.configJson(
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
            deployment.seed,
            listLength,
            deployment.tierOr(DEFAULT_TIER),
            deployment.zones));
  }

  private static void parse(SimulatedBalancer.Template template, byte[] listJson) {
    try {
      template.parseEndpoints(listJson);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Counts the policy's operations per request, which don't depend on the machine. */
  static void countOperations(
      MeasuredPoint point, SimulatedBalancer.Template template, List<Endpoint> endpoints) {
    VirtualTimePolicyRun.EndpointChecks checks = new VirtualTimePolicyRun.EndpointChecks();
    VirtualTimePolicyRun run =
        new VirtualTimePolicyRun(
            VirtualTimePolicyRun.withEndpointChecks(template.settings(), checks),
            endpoints,
            COUNTING_RATE,
            COUNTING_SEED);
    for (int i = 0; i < COUNTED_REQUESTS; i++) {
      run.handleRequest();
    }
    point.results.put("call_looks", (double) checks.count() / COUNTED_REQUESTS);
    point.results.put("call_sends", (double) run.attemptsSent() / COUNTED_REQUESTS);
    point.results.put("call_timers", (double) run.timersScheduled() / COUNTED_REQUESTS);
  }

  /**
   * Measures an operation in batches of about equal processor time. Warm-up batches determine how
   * often the operation is repeated in a batch.
   */
  private void measureCost(MeasuredPoint point, String resultKey, Runnable operation) {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long batchNanos = batchMillis * 1_000_000L;
    int callsPerBatch = 1;
    for (long spentNanos = 0, startNanos;
        spentNanos < batchNanos;
        callsPerBatch = spentNanos < batchNanos ? callsPerBatch * 2 : callsPerBatch) {
      startNanos = threads.getCurrentThreadCpuTime();
      repeat(operation, callsPerBatch);
      spentNanos = threads.getCurrentThreadCpuTime() - startNanos;
    }
    repeat(operation, callsPerBatch);
    double[] microsPerCall = new double[batches];
    double[] bytesPerCall = new double[batches];
    long threadId = Thread.currentThread().getId();
    for (int i = 0; i < batches; i++) {
      long allocatedBefore = threads.getThreadAllocatedBytes(threadId);
      long startNanos = threads.getCurrentThreadCpuTime();
      repeat(operation, callsPerBatch);
      microsPerCall[i] =
          (threads.getCurrentThreadCpuTime() - startNanos) / NANOS_PER_MICRO / callsPerBatch;
      bytesPerCall[i] =
          (double) (threads.getThreadAllocatedBytes(threadId) - allocatedBefore) / callsPerBatch;
    }
    MeasuredPoint.putSpread(point.results, resultKey + "_us", microsPerCall);
    MeasuredPoint.putSpread(point.results, resultKey + "_allocated_bytes", bytesPerCall);
  }

  private static void repeat(Runnable operation, int callsPerBatch) {
    for (int i = 0; i < callsPerBatch; i++) {
      operation.run();
    }
  }
}
