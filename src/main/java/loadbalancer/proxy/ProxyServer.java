package loadbalancer.proxy;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import loadbalancer.model.RequestClass;
import loadbalancer.policy.LatencyWeightedPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicyActions;
import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.eventloop.DescriptorLimitReport;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.frontend.Frontend;
import loadbalancer.proxy.logging.LogRateLimiter;
import loadbalancer.proxy.logging.ProxyLogger;
import loadbalancer.proxy.memory.MemoryBudgets;
import loadbalancer.proxy.memory.MemoryLimitReport;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import loadbalancer.proxy.upstream.UpstreamClient;

/**
 * The lifecycle of one load balancer instance: start, reload and graceful shutdown. Its parts run
 * on a single event loop thread, so nothing is locked; the public methods of this class may be
 * called on any other thread.
 */
public final class ProxyServer {

  /** How long a start waits for the first endpoint list from discovery. */
  static final long FIRST_ENDPOINT_LIST_TIMEOUT_MILLIS = 500;

  // Netty's pool of direct buffers: one arena for the one event loop thread, in chunks of 512 KiB.
  private static final int DIRECT_ARENAS = 1;
  private static final int PAGE_BYTES = 8_192;
  private static final int PAGES_PER_CHUNK_LOG2 = 6;
  private static final int CACHED_BUFFERS_PER_SIZE = 32;

  /** The time after SIGTERM in which clients may still open connections. */
  private static final long NEW_CONNECTIONS_AFTER_SIGTERM_MILLIS = 550;

  /**
   * SIGKILL follows SIGTERM after the longest deadline of a request class, but at most this time,
   * plus 700 ms.
   */
  private static final double MAX_DEADLINE_BEFORE_SIGKILL_MILLIS = 3_000;

  /** The part of those 700 ms that a shutdown uses; the rest is a margin before SIGKILL. */
  private static final double SHUTDOWN_SLACK_MILLIS = 550;

  /** The last part of a shutdown, in which responses ask clients to close their connections. */
  private static final double CLOSING_PHASE_MILLIS = 1_650;

  private static final long SHUTDOWN_POLL_MILLIS = 10;

  private static final long REPORT_INTERVAL_MILLIS = 5_000;

  private static final long STOP_TIMEOUT_MILLIS = 1_000;

  /** Keeps the event loop from ending in the iteration in which it is told to. */
  private static final long STOP_QUIET_PERIOD_MILLIS = 200;

  /** An interval is reported only if an iteration of the event loop in it took longer than this. */
  private static final long LATENESS_REPORT_THRESHOLD_MILLIS = 100;

  private final ProxyConfig config;
  private final EventLoop loop;
  private final EventLoopMonitor monitor;
  private final Clock clock = new Clock();
  private final PooledByteBufAllocator allocator = newAllocator();
  private final MemoryLimitReport memoryLimitReport;
  private final DescriptorLimitReport descriptorLimitReport;
  private final UpstreamClient upstreams;
  private final PolicyDriver driver;
  private final Frontend frontend;

  private ProxyServer(
      ProxyConfig config,
      EventLoop loop,
      EventLoopMonitor monitor,
      Function<PolicyActions, LoadBalancingPolicy> policyFactory) {
    this.config = config;
    this.loop = loop;
    this.monitor = monitor;
    // Used by the event loop and the reload thread without a lock: a race can only make its count
    // of dropped log lines wrong.
    ProxyLogger.LOGGER.setFilter(new LogRateLimiter(clock::now));
    DescriptorBudget descriptors = new DescriptorBudget(config.maxDescriptors());
    descriptorLimitReport = new DescriptorLimitReport(descriptors);
    MemoryBudgets memoryBudgets =
        MemoryBudgets.ofProcess(
            config.memoryLimitBytes(), config.maxDescriptors(), ProtocolHeaders.MAX_BODY_BYTES);
    memoryLimitReport = new MemoryLimitReport(memoryBudgets);
    upstreams =
        new UpstreamClient(loop, clock, config.settings(), descriptors, memoryBudgets, allocator);
    driver =
        new PolicyDriver(
            config,
            loop,
            clock,
            monitor,
            upstreams,
            policyFactory,
            listener ->
                new DiscoveryClient(
                    loop,
                    config.discoverySettings(),
                    allocator,
                    listener,
                    () -> descriptors.evictConnections(clock.now()),
                    DiscoveryClient.MAX_WATCH_MILLIS));
    frontend = new Frontend(loop, config, descriptors, memoryBudgets, allocator, driver, monitor);
  }

  private static PooledByteBufAllocator newAllocator() {
    return new PooledByteBufAllocator(
        true,
        0,
        DIRECT_ARENAS,
        PAGE_BYTES,
        PAGES_PER_CHUNK_LOG2,
        CACHED_BUFFERS_PER_SIZE,
        CACHED_BUFFERS_PER_SIZE,
        false);
  }

  /** Starts an instance with the policy that production uses, see the other overload. */
  static ProxyServer prepare(ProxyConfig config) throws InterruptedException {
    return prepare(config, LatencyWeightedPolicy::new, FIRST_ENDPOINT_LIST_TIMEOUT_MILLIS);
  }

  /**
   * Starts an instance that accepts no clients yet. The endpoint list of the configuration may be
   * outdated, so this waits for the first list from discovery, unless the settings leave it to the
   * policy when to ask for one.
   *
   * @param firstEndpointListTimeoutMillis how long to wait for that list at most
   */
  static ProxyServer prepare(
      ProxyConfig config,
      Function<PolicyActions, LoadBalancingPolicy> policyFactory,
      long firstEndpointListTimeoutMillis)
      throws InterruptedException {
    EventLoopMonitor monitor = new EventLoopMonitor(System::nanoTime);
    ProxyServer server = new ProxyServer(config, newEventLoop(monitor), monitor, policyFactory);
    server.loop.submit(server::start).sync();
    if (!config.settings().explicitWatch()
        && !server.driver.awaitFirstEndpointList(firstEndpointListTimeoutMillis)) {
      ProxyLogger.LOGGER.warning(
          "no endpoint list from discovery, using the configured one: waited_ms="
              + firstEndpointListTimeoutMillis);
    }
    return server;
  }

  private static EventLoop newEventLoop(EventLoopMonitor monitor) {
    return (EventLoop)
        new MultiThreadIoEventLoopGroup(
                1,
                new DefaultThreadFactory("event-loop", true),
                monitor.wrap(NioIoHandler.newFactory()))
            .next();
  }

  private void start() {
    reportRegularly(this::reportLateness);
    reportRegularly(this::reportMemoryLimit);
    reportRegularly(this::reportDescriptorLimit);
    driver.start();
  }

  private void reportRegularly(Runnable report) {
    loop.scheduleAtFixedRate(
        report, REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Logs the number of the event loop's iterations since the last report and how long they took,
   * see {@link EventLoopMonitor.Report}. The interval and the threshold of the report are {@link
   * #REPORT_INTERVAL_MILLIS} and {@link #LATENESS_REPORT_THRESHOLD_MILLIS}.
   */
  private void reportLateness() {
    EventLoopMonitor.Report report = monitor.report();
    if (report.maxMillis() > LATENESS_REPORT_THRESHOLD_MILLIS) {
      ProxyLogger.LOGGER.info(
          "event loop late: iterations="
              + report.iterations()
              + " p50_ms="
              + report.p50Millis()
              + " p99_ms="
              + report.p99Millis()
              + " max_ms="
              + report.maxMillis());
    }
  }

  /** Logs that requests or attempts were refused since the last report for lack of memory. */
  private void reportMemoryLimit() {
    memoryLimitReport
        .next(allocator.metric().usedDirectMemory())
        .ifPresent(ProxyLogger.LOGGER::warning);
  }

  /** Logs that connections were evicted or not accepted since the last report. */
  private void reportDescriptorLimit() {
    descriptorLimitReport
        .next(frontend.acceptPausedMillis())
        .ifPresent(ProxyLogger.LOGGER::warning);
  }

  /**
   * Listens on the configured address and accepts clients from now on.
   *
   * @throws ConfigurationException if the address cannot be bound
   */
  void serve() throws ConfigurationException, InterruptedException {
    frontend.bind();
    // The first log line loads the logging classes; later there may be no descriptor left for that.
    ProxyLogger.LOGGER.info("serving: name=" + config.name());
  }

  /** The address that the instance listens on, with the port that was bound if 0 is configured. */
  public InetSocketAddress address() {
    return frontend.address();
  }

  /** The time in milliseconds on the clock of this instance. */
  public double now() {
    return clock.now();
  }

  /**
   * Carries out the shutdown that SIGTERM asks for; the process may end once this returns. If
   * several instances restart at the same time, clients may have no other one to connect to.
   * Therefore they are served as before for as long as their requests can still be answered, that
   * is until the closing phase, and only then asked to close their connections.
   */
  void shutDownGracefully() throws InterruptedException {
    double longestDeadlineMillis =
        config.settings().requestClasses().stream()
            .mapToDouble(RequestClass::deadlineMillis)
            .max()
            .orElse(0);
    double startedAtMillis = clock.now();
    double endsAtMillis =
        startedAtMillis
            + Math.min(longestDeadlineMillis, MAX_DEADLINE_BEFORE_SIGKILL_MILLIS)
            + SHUTDOWN_SLACK_MILLIS;
    Thread.sleep(
        (long)
            Math.max(
                NEW_CONNECTIONS_AFTER_SIGTERM_MILLIS,
                endsAtMillis - startedAtMillis - CLOSING_PHASE_MILLIS));
    loop.submit(frontend::beginGracefulShutdown).sync();
    boolean allClosed = closeIdleClientConnections();
    while (!allClosed && clock.now() < endsAtMillis) {
      Thread.sleep(SHUTDOWN_POLL_MILLIS);
      allClosed = closeIdleClientConnections();
    }
    loop.submit(this::forceShutdown).sync();
  }

  /** Closes idle client connections; returns whether no client connection is left. */
  boolean closeIdleClientConnections() throws InterruptedException {
    return loop.submit(frontend::closeIdleConnections).sync().getNow();
  }

  /**
   * Gives every request received so far its final response, since the process is about to end:
   * pipelined requests are rejected, and requests in flight fail. Called on the event loop.
   */
  void forceShutdown() {
    frontend.forceShutdown();
    driver.failUnansweredRequests();
  }

  /** Applies the settings that can change at runtime; returns before they have taken effect. */
  public void reload(ProxyConfig newConfig) {
    loop.execute(() -> driver.reconfigure(newConfig));
  }

  /** Runs an action if the event loop ends, after which nothing is answered any more. */
  void onEventLoopTerminated(Runnable action) {
    loop.terminationFuture().addListener(terminated -> action.run());
  }

  /** For tests: runs an action on the event loop and returns its result. */
  public <T> T onLoop(BiFunction<Frontend, UpstreamClient, T> action) throws InterruptedException {
    return loop.submit(() -> action.apply(frontend, upstreams)).sync().getNow();
  }

  /** For tests: stops the event loop at once, even with requests in flight and channels open. */
  void kill() {
    stopLoop(0);
  }

  /** For tests: stops the event loop after an iteration in which it closes all channels. */
  public void closeChannelsAndStop() {
    stopLoop(STOP_QUIET_PERIOD_MILLIS);
  }

  private void stopLoop(long quietPeriodMillis) {
    loop.parent()
        .shutdownGracefully(quietPeriodMillis, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }
}
