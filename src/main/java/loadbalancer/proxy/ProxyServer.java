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
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.frontend.Frontend;
import loadbalancer.proxy.logging.LogRateLimiter;
import loadbalancer.proxy.logging.ProxyLogger;
import loadbalancer.proxy.upstream.UpstreamClient;

/**
 * The lifecycle of one load balancer instance: start, reload and graceful shutdown. Its parts run
 * on a single event loop thread, so nothing is locked; the methods of this class may be called on
 * any other thread.
 */
public final class ProxyServer {

  /** How long a start waits for the first endpoint list of discovery. */
  static final long FIRST_UPDATE_TIMEOUT_MILLIS = 500;

  // Netty's pool of direct memory: one arena for the one thread, in chunks of 512 KiB.
  private static final int DIRECT_ARENAS = 1;
  private static final int PAGE_BYTES = 8_192;
  private static final int PAGES_PER_CHUNK_LOG2 = 6;
  private static final int CACHED_BUFFERS_PER_SIZE = 32;

  /** How long clients may still open connections after SIGTERM. */
  private static final long LATE_CONNECTIONS_MILLIS = 550;

  /** SIGKILL follows SIGTERM after the longest deadline, at most this long, and some slack. */
  private static final double MAX_SHUTDOWN_DEADLINE_MILLIS = 3_000;

  /** The part of that slack, which is 700 ms, that a shutdown uses. */
  private static final double SHUTDOWN_SLACK_MILLIS = 550;

  /** The end of a shutdown, in which clients are asked to close their connections. */
  private static final double CLOSING_PHASE_MILLIS = 1_650;

  private static final long SHUTDOWN_POLL_MILLIS = 10;

  private static final long LATENESS_REPORT_INTERVAL_MILLIS = 5_000;

  /** Iterations of the event loop up to this long are not worth a report. */
  private static final long LATENESS_REPORT_THRESHOLD_MILLIS = 100;

  private final ProxyConfig config;
  private final EventLoop loop;
  private final EventLoopMonitor monitor;
  private final Clock clock = new Clock();
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
    // Called by the event loop and the reload thread: a race can only miscount dropped lines.
    ProxyLogger.LOGGER.setFilter(new LogRateLimiter(clock::now));
    PooledByteBufAllocator allocator = newAllocator();
    DescriptorBudget descriptors = new DescriptorBudget(config.maxDescriptors());
    upstreams = new UpstreamClient(loop, clock, config.settings(), descriptors, allocator);
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
                    () -> descriptors.evictIdleConnections(clock.now()),
                    DiscoveryClient.MAX_WATCH_MILLIS));
    frontend = new Frontend(loop, config, descriptors, allocator, driver, monitor);
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

  /** Starts an instance with the policy that serves, see the other overload. */
  static ProxyServer prepare(ProxyConfig config) throws InterruptedException {
    return prepare(config, LatencyWeightedPolicy::new, FIRST_UPDATE_TIMEOUT_MILLIS);
  }

  /**
   * Starts an instance that accepts no clients yet. The endpoint list of the configuration may be
   * outdated, so unless the policy itself asks for updates this waits for the first list.
   *
   * @param firstUpdateTimeoutMillis how long to wait for it at most
   */
  static ProxyServer prepare(
      ProxyConfig config,
      Function<PolicyActions, LoadBalancingPolicy> policyFactory,
      long firstUpdateTimeoutMillis)
      throws InterruptedException {
    EventLoopMonitor monitor = new EventLoopMonitor(System::nanoTime);
    ProxyServer server = new ProxyServer(config, newEventLoop(monitor), monitor, policyFactory);
    server.loop.submit(server::start).sync();
    if (!config.settings().explicitWatch()
        && !server.driver.awaitFirstUpdate(firstUpdateTimeoutMillis)) {
      ProxyLogger.LOGGER.warning(
          "no endpoint list from discovery, using the configured one: waited_ms="
              + firstUpdateTimeoutMillis);
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
    loop.scheduleAtFixedRate(
        this::reportLateness,
        LATENESS_REPORT_INTERVAL_MILLIS,
        LATENESS_REPORT_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    driver.start();
  }

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

  /**
   * Accepts clients from now on.
   *
   * @throws ConfigurationException if the configured address cannot be listened on
   */
  void serve() throws ConfigurationException, InterruptedException {
    frontend.bind();
    // The first line loads the classes of logging, which would fail later with no descriptor left.
    ProxyLogger.LOGGER.info("serving: name=" + config.name());
  }

  /** The address that it listens on. */
  public InetSocketAddress address() {
    return frontend.address();
  }

  /** The time in milliseconds on the clock of this instance. */
  public double now() {
    return clock.now();
  }

  /**
   * Shuts down as SIGTERM asks for; the process may end once this returns. Clients may have no
   * other instance to go to while several restart, so they are served as before for as long as
   * their requests can still be answered, and only then asked to close their connections.
   */
  void shutDownGracefully() throws InterruptedException {
    double longestDeadlineMillis =
        config.settings().requestClasses().stream()
            .mapToDouble(RequestClass::deadlineMillis)
            .max()
            .orElse(0);
    double startedAt = clock.now();
    double endsAt =
        startedAt
            + Math.min(longestDeadlineMillis, MAX_SHUTDOWN_DEADLINE_MILLIS)
            + SHUTDOWN_SLACK_MILLIS;
    Thread.sleep(
        (long) Math.max(LATE_CONNECTIONS_MILLIS, endsAt - startedAt - CLOSING_PHASE_MILLIS));
    loop.submit(frontend::beginGracefulShutdown).sync();
    boolean done = closeIdleClientConnections();
    while (!done && clock.now() < endsAt) {
      Thread.sleep(SHUTDOWN_POLL_MILLIS);
      done = closeIdleClientConnections();
    }
    loop.submit(this::forceShutdown).sync();
  }

  /** Closes idle client connections; returns whether no connection of a client is left. */
  boolean closeIdleClientConnections() throws InterruptedException {
    return loop.submit(frontend::closeIdleConnections).sync().getNow();
  }

  /**
   * Gives every request that has come so far its final response, as the end of the process would
   * lose it: pipelined requests are rejected, those in flight fail. To be called on the event loop.
   */
  void forceShutdown() {
    frontend.forceShutdown();
    driver.failOpenRequests();
  }

  /** Takes over the settings that can change at runtime; returns at once. */
  public void reload(ProxyConfig changed) {
    loop.execute(() -> driver.reconfigure(changed));
  }

  /** Runs an action of a test on the event loop and waits for its result. */
  public <T> T onLoop(BiFunction<Frontend, UpstreamClient, T> action) throws InterruptedException {
    return loop.submit(() -> action.apply(frontend, upstreams)).sync().getNow();
  }

  /** Stops the event loop at once, whatever is in flight; for tests. */
  void kill() {
    loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
