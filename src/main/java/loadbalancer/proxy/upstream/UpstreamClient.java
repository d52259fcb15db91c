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

/**
 * Sends attempts and health checks to endpoints and reports how each ended. It retries nothing: a
 * failure is an outcome. Confined to the event loop.
 */
public final class UpstreamClient {

  private static final long SWEEP_INTERVAL_MILLIS = 1_000;

  private static final String LOAD_REPORT_PATH = "/_load";
  private static final String PING_PATH = "/ping";

  /** Waits for the outcome of an attempt. */
  public interface Listener {

    /**
     * Called once, when the attempt is over. The response is null if none came, and is released
     * after the call.
     */
    void attemptFinished(AttemptOutcome outcome, FullHttpResponse response);

    /**
     * Whether the outcome is still wanted; asked before a request is written to a new connection.
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
  private UpstreamClientOptions options = UpstreamClientOptions.DEFAULT;

  /** Creates a client without endpoints that runs on the given event loop. */
  public UpstreamClient(
      EventLoop loop,
      Clock clock,
      PolicySettings settings,
      DescriptorBudget descriptorBudget,
      ByteBufAllocator memory) {
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    pool = new ConnectionPool(clock, settings, options);
    connector =
        new UpstreamConnector(loop, clock, settings, descriptorBudget, memory, pool, options);
    descriptorBudget.onEvictUpstream(pool::evictLongestIdle);
    loop.scheduleAtFixedRate(
        this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes in a list of endpoints and closes the idle connections of those that are draining or
   * removed.
   *
   * @param notifiedAt when discovery had the list, in ms since 1970; the drain grace counts from it
   */
  public void updateEndpoints(EndpointListUpdate update, double notifiedAt) {
    pool.updateEndpoints(update, notifiedAt);
  }

  /**
   * Sends a request to an endpoint. The body and the listener are used until the listener has been
   * called, which may happen before this returns.
   *
   * @param deadline when the attempt times out, in ms since 1970
   */
  public UpstreamAttempt send(
      long endpointId, FullHttpRequest request, double deadline, Listener listener) {
    UpstreamAttempt attempt =
        new UpstreamAttempt(loop, clock, pool, connector, request, deadline, listener);
    pool.find(endpointId).ifPresentOrElse(attempt::start, attempt::endpointUnknown);
    return attempt;
  }

  /**
   * Checks an endpoint's health; the response's body holds its load report if there is any.
   *
   * @param deadline when the check times out, in ms since 1970
   */
  public void checkHealth(long endpointId, double deadline, Listener listener) {
    String path = settings.loadReportFields().isEmpty() ? PING_PATH : LOAD_REPORT_PATH;
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    send(endpointId, request, deadline, listener);
  }

  /** Closes an endpoint's idle connections; has no effect on an unknown endpoint. */
  public void closeIdleConnections(long endpointId) {
    pool.find(endpointId).ifPresent(UpstreamEndpoint::closeIdleConnections);
  }

  private void sweep() {
    pool.trust().recover();
    pool.sweep(clock.now());
  }

  /** For tests: the options in use. */
  public UpstreamClientOptions options() {
    return options;
  }

  /** For tests: replaces the options, and forgets what was measured on connections so far. */
  public void useOptions(UpstreamClientOptions newOptions) {
    options = newOptions;
    pool.useOptions(newOptions);
    connector.useOptions(newOptions);
  }

  /** For tests: the endpoints and their idle connections. */
  ConnectionPool pool() {
    return pool;
  }

  /** For tests: how many connections are not established yet. */
  int pendingConnections() {
    return connector.pendingConnections();
  }
}
