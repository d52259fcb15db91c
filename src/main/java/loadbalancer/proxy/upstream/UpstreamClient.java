package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.PolicySettings;
import loadbalancer.proxy.discovery.EndpointListUpdate;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.memory.MemoryBudget;
import loadbalancer.proxy.memory.MemoryBudgets;

/**
 * Sends attempts and health checks to endpoints and reports the outcome of each. Retries are the
 * policy's decision: this client reports a failure and sends nothing again. Used on the event loop
 * thread only.
 */
public final class UpstreamClient {

  /** The interval in which idle connections and removed endpoints are swept from the pool. */
  private static final long SWEEP_INTERVAL_MILLIS = 1_000;

  /** The health check path of endpoints that send load reports. */
  private static final String LOAD_REPORT_PATH = "/_load";

  /** The health check path of endpoints without load reports. */
  private static final String PING_PATH = "/ping";

  /** Receives the outcome of an attempt or a health check. */
  public interface Listener {

    /**
     * Called exactly once, when the attempt has ended.
     *
     * @param response the complete response, released after the call; null if there is none
     */
    void attemptFinished(AttemptOutcome outcome, FullHttpResponse response);

    /**
     * Whether the outcome is still wanted, which it is not once the client has disconnected. Called
     * before a request is written to a new connection; may end the attempt.
     */
    default boolean isStillWanted() {
      return true;
    }
  }

  private final EventLoop loop;
  private final Clock clock;
  private final PolicySettings settings;
  private final ConnectionPool pool;
  private final UpstreamConnector connector;
  private final MemoryBudget bodyBudget;
  private UpstreamClientOptions options = UpstreamClientOptions.DEFAULT;

  /** Creates a client without endpoints that runs on the given event loop. */
  public UpstreamClient(
      EventLoop loop,
      Clock clock,
      PolicySettings settings,
      DescriptorBudget descriptorBudget,
      MemoryBudgets memoryBudgets,
      ByteBufAllocator allocator) {
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    bodyBudget = memoryBudgets.bodies();
    pool = new ConnectionPool(clock, settings, options);
    connector =
        new UpstreamConnector(
            loop, clock, settings, descriptorBudget, memoryBudgets, allocator, pool, options);
    descriptorBudget.onEvictUpstream(pool::evictLongestIdle);
    loop.scheduleAtFixedRate(
        this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Applies an update of the endpoint list and closes the idle connections to endpoints that are
   * now draining or removed.
   *
   * @param notifiedAtMillis the earliest time at which the update may have reached this instance,
   *     in milliseconds since 1970; the time in which requests are still written to a draining
   *     endpoint counts from it
   */
  public void updateEndpoints(EndpointListUpdate update, double notifiedAtMillis) {
    pool.updateEndpoints(update, notifiedAtMillis);
  }

  /**
   * Sends a request to an endpoint. The listener may be called before this method returns. The
   * request's body must not be released before the listener is called.
   *
   * @param deadlineMillis when the attempt times out, in milliseconds since 1970
   */
  public UpstreamAttempt send(
      long endpointId, FullHttpRequest request, double deadlineMillis, Listener listener) {
    UpstreamAttempt attempt =
        new UpstreamAttempt(
            loop, clock, pool, connector, bodyBudget, request, deadlineMillis, listener);
    pool.find(endpointId).ifPresentOrElse(attempt::start, attempt::endpointUnknown);
    return attempt;
  }

  /**
   * Checks an endpoint's health. If endpoints send load reports, the response's body is one.
   *
   * @param deadlineMillis when the check times out, in milliseconds since 1970
   */
  public void checkHealth(long endpointId, double deadlineMillis, Listener listener) {
    String path = settings.loadReportFields().isEmpty() ? PING_PATH : LOAD_REPORT_PATH;
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    send(endpointId, request, deadlineMillis, listener);
  }

  /** Closes all idle connections to an endpoint; has no effect if the endpoint is unknown. */
  public void closeIdleConnections(long endpointId) {
    pool.find(endpointId).ifPresent(UpstreamEndpoint::closeIdleConnections);
  }

  private void sweep() {
    pool.reuseLimit().recover();
    pool.sweep(clock.now());
  }

  /** The current options. For tests. */
  public UpstreamClientOptions options() {
    return options;
  }

  /** Replaces the options and discards the recorded connect times and resets. For tests. */
  public void useOptions(UpstreamClientOptions newOptions) {
    options = newOptions;
    pool.useOptions(newOptions);
    connector.useOptions(newOptions);
  }

  /** The known endpoints and their idle connections. For tests. */
  ConnectionPool pool() {
    return pool;
  }

  /** The number of connects that have neither succeeded nor failed yet. For tests. */
  int pendingConnects() {
    return connector.pendingConnects();
  }
}
