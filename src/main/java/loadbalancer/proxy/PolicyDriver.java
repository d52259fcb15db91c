package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.logging.Level;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.LoadReportMode;
import loadbalancer.model.PolicySettings;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicyActions;
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.discovery.EndpointListUpdate;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.eventloop.RunToCompletionQueue;
import loadbalancer.proxy.frontend.RequestDispatcher;
import loadbalancer.proxy.logging.ProxyLogger;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import loadbalancer.proxy.upstream.LoadReportParser;
import loadbalancer.proxy.upstream.UpstreamClient;

/**
 * Connects the sockets to the policy: notifies the policy of what happens on the sockets, one event
 * at a time, and carries out the actions that the policy asks for. Used on the event loop thread
 * only, except for {@link #awaitFirstEndpointList}.
 */
final class PolicyDriver implements PolicyActions, RequestDispatcher {

  /** The timeout of a health check is the connect timeout times this factor. */
  private static final double HEALTH_CHECK_TIMEOUT_FACTOR = 2;

  /** A call to the policy, and the exchange that it is about; null if it is about none. */
  private record Event(InFlightExchange exchange, Runnable policyCall) {}

  private final ProxyConfig config;
  private final PolicySettings settings;
  private final EventLoop loop;
  private final Clock clock;
  private final LoadBalancingPolicy policy;
  private final UpstreamClient upstreams;
  private final DiscoveryClient discovery;
  private final PendingDiscoveryReader discoveryReader;
  private final RunToCompletionQueue<Event> events = new RunToCompletionQueue<>(this::handle);
  private final Map<Long, InFlightExchange> exchanges = new HashMap<>();
  private final CountDownLatch firstEndpointList = new CountDownLatch(1);
  private long lastRequestId;

  /** The exchange that the event being handled is about; null if it is about none. */
  private InFlightExchange currentExchange;

  PolicyDriver(
      ProxyConfig config,
      EventLoop loop,
      Clock clock,
      EventLoopMonitor monitor,
      UpstreamClient upstreams,
      Function<PolicyActions, LoadBalancingPolicy> policyFactory,
      Function<DiscoveryClient.Listener, DiscoveryClient> discoveryFactory) {
    this.config = config;
    this.settings = config.settings();
    this.loop = loop;
    this.clock = clock;
    this.upstreams = upstreams;
    policy = policyFactory.apply(this);
    discovery = discoveryFactory.apply(this::endpointsUpdated);
    discoveryReader = new PendingDiscoveryReader(discovery, clock, monitor);
  }

  /** Starts the policy with the endpoint list of the configuration. */
  void start() {
    EndpointListUpdate cached =
        new EndpointListUpdate(
            config.knownEndpoints().version(), true, config.knownEndpoints().entries());
    upstreams.updateEndpoints(cached, clock.now());
    enqueue(null, () -> policy.start(clock.now(), settings, config.seed()));
    enqueue(
        null,
        () -> policy.endpointsChanged(clock.now(), EndpointUpdateType.CACHED, cached.endpoints()));
    if (!settings.explicitWatch()) {
      // In this mode the policy does not ask for updates, so the watch for them is started here.
      watchEndpoints(true);
    }
  }

  /**
   * Waits until the policy has accepted an endpoint list from discovery, and returns whether it has
   * in time. Never called on the event loop, which it would block.
   */
  boolean awaitFirstEndpointList(long timeoutMillis) throws InterruptedException {
    return firstEndpointList.await(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /** Applies the only setting that may change while the process runs: the discovery address. */
  void reconfigure(ProxyConfig newConfig) {
    discovery.switchTo(newConfig.discovery());
  }

  /** Responds with status 504 to every request that has no final response yet. */
  void failUnansweredRequests() {
    List.copyOf(exchanges.values()).stream()
        .filter(InFlightExchange::isAwaitingResponse)
        .forEach(exchange -> fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT));
  }

  /**
   * Calls the policy, or queues the call while the policy handles another event. An action may
   * cause an event before it returns: a refused connection ends its attempt.
   */
  private void enqueue(InFlightExchange exchange, Runnable policyCall) {
    if (!events.isRunning()) {
      discoveryReader.readIfLate();
    }
    events.add(new Event(exchange, policyCall));
  }

  private void handle(Event event) {
    currentExchange = event.exchange();
    try {
      event.policyCall().run();
    } catch (Throwable e) {
      policyFailed(event.exchange(), e);
    } finally {
      currentExchange = null;
    }
  }

  /** Fails the request: it is unknown which of its actions the policy took before the error. */
  private void policyFailed(InFlightExchange exchange, Throwable cause) {
    ProxyLogger.LOGGER.log(Level.SEVERE, "policy event failed", cause);
    if (exchange != null && exchange.isAwaitingResponse()) {
      fail(exchange, HttpResponseStatus.INTERNAL_SERVER_ERROR);
    }
  }

  /** Fails a request without asking the policy, to which it is reported as a client disconnect. */
  private void fail(InFlightExchange exchange, HttpResponseStatus status) {
    exchange.respond(status, Unpooled.EMPTY_BUFFER, 0);
    exchange.cancelAttempts();
    enqueue(null, () -> policy.clientDisconnected(clock.now(), exchange.id()));
    removeIfFinished(exchange);
  }

  /**
   * Handles the end of a call to discovery; {@code update} is null if the call failed.
   *
   * @throws IllegalStateException if the policy threw an exception: the caller has to fetch the
   *     whole list again
   */
  private void endpointsUpdated(EndpointUpdateType updateType, EndpointListUpdate update) {
    List<Endpoint> endpoints = update == null ? List.of() : update.endpoints();
    if (update != null) {
      upstreams.updateEndpoints(update, discoveryReader.earliestArrivalMillis());
    }
    boolean[] acceptedByPolicy = new boolean[1];
    enqueue(
        null,
        () -> {
          policy.endpointsChanged(clock.now(), updateType, endpoints);
          acceptedByPolicy[0] = true;
        });
    if (update == null) {
      return;
    }
    if (!acceptedByPolicy[0]) {
      throw new IllegalStateException(
          "the policy failed to handle endpoint list version " + update.version());
    }
    firstEndpointList.countDown();
  }

  @Override
  public double now() {
    return clock.now();
  }

  @Override
  public DispatchedRequest dispatch(
      Function<Long, ClientRequest> requestForId, FullHttpRequest message, Responder responder) {
    ClientRequest request = requestForId.apply(++lastRequestId);
    InFlightExchange exchange =
        new InFlightExchange(
            request.id(), message, request.deadlineMillis(), responder, this::clientDisconnected);
    exchanges.put(exchange.id(), exchange);
    double overdueAtMillis = exchange.overdueAtMillis(settings.rules().responseGraceMillis());
    exchange.setOverdueTimer(
        loop.schedule(
            () -> failOverdue(exchange), clock.nanosUntil(overdueAtMillis), TimeUnit.NANOSECONDS));
    enqueue(exchange, () -> policy.requestArrived(clock.now(), request));
    return exchange;
  }

  /** Guards against a policy that sends no final response: answers 504, logs the internal ID. */
  private void failOverdue(InFlightExchange exchange) {
    if (exchange.isAwaitingResponse()) {
      ProxyLogger.LOGGER.warning("request overdue: id=" + exchange.id());
      fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT);
    }
  }

  private void clientDisconnected(InFlightExchange exchange) {
    if (exchange.isAwaitingResponse()) {
      exchange.close();
      enqueue(exchange, () -> policy.clientDisconnected(clock.now(), exchange.id()));
      removeIfFinished(exchange);
    }
  }

  /** Whether the client still waits; handles a disconnect that the event loop has not read yet. */
  private boolean isClientWaiting(InFlightExchange exchange) {
    if (exchange.isAwaitingResponse() && !exchange.isClientConnected()) {
      clientDisconnected(exchange);
    }
    return exchange.isAwaitingResponse();
  }

  /** Removes an exchange and releases its request, if it is closed and no attempt is running. */
  private void removeIfFinished(InFlightExchange exchange) {
    if (exchange.isFinished() && exchanges.remove(exchange.id()) != null) {
      exchange.request().release();
    }
  }

  @Override
  public void sendAttempt(long requestId, long endpointId, double timeoutMillis) {
    InFlightExchange exchange = exchanges.get(requestId);
    if (exchange == null) {
      return;
    }
    double now = clock.now();
    UpstreamAttemptListener listener =
        new UpstreamAttemptListener(exchange, exchange.beginAttempt(), endpointId, now);
    if (!isClientWaiting(exchange)
        || now >= exchange.deadlineMillis()
        || listener.attemptNumber >= settings.limits().maxAttempts()) {
      exchange.addAttempt(null);
      listener.attemptFinished(AttemptOutcome.NOT_SENT, null);
      return;
    }
    double deadlineMillis =
        timeoutMillis == 0
            ? exchange.deadlineMillis()
            : Math.min(exchange.deadlineMillis(), now + timeoutMillis);
    exchange.addAttempt(upstreams.send(endpointId, exchange.request(), deadlineMillis, listener));
  }

  /** Passes the result of one attempt on to the client, if it succeeded, and to the policy. */
  private final class UpstreamAttemptListener implements UpstreamClient.Listener {

    private final InFlightExchange exchange;
    private final int attemptNumber;
    private final long endpointId;
    private final double sentAtMillis;

    UpstreamAttemptListener(
        InFlightExchange exchange, int attemptNumber, long endpointId, double sentAtMillis) {
      this.exchange = exchange;
      this.attemptNumber = attemptNumber;
      this.endpointId = endpointId;
      this.sentAtMillis = sentAtMillis;
    }

    @Override
    public boolean isStillWanted() {
      discoveryReader.readIfLate();
      return isClientWaiting(exchange);
    }

    @Override
    public void attemptFinished(AttemptOutcome outcome, FullHttpResponse response) {
      exchange.endAttempt();
      double[] loadReport = piggybackedLoadReport(response);
      if (outcome == AttemptOutcome.OK) {
        exchange.respond(HttpResponseStatus.OK, response.content(), 0);
      }
      enqueue(exchange, () -> policy.attemptFinished(clock.now(), result(outcome, loadReport)));
      removeIfFinished(exchange);
    }

    private AttemptResult result(AttemptOutcome outcome, double[] loadReport) {
      return new AttemptResult(
          exchange.id(),
          attemptNumber,
          endpointId,
          outcome,
          !exchange.isAwaitingResponse(),
          clock.now() - sentAtMillis,
          loadReport);
    }
  }

  /** The load report of a response; null if there is none. */
  private double[] piggybackedLoadReport(FullHttpResponse response) {
    if (response == null || settings.loadReportMode() != LoadReportMode.PIGGYBACK) {
      return null;
    }
    return LoadReportParser.parse(
        response.headers().get(ProtocolHeaders.LOAD_REPORT), settings.loadReportFields());
  }

  @Override
  public void reject(long requestId, double retryAfterMillis) {
    respond(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMillis);
  }

  @Override
  public void failRequest(long requestId) {
    respond(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
  }

  private void respond(long requestId, HttpResponseStatus status, double retryAfterMillis) {
    InFlightExchange exchange = exchanges.get(requestId);
    if (exchange != null) {
      exchange.respond(status, Unpooled.EMPTY_BUFFER, retryAfterMillis);
      removeIfFinished(exchange);
    }
  }

  @Override
  public void cancelAttempt(long requestId, int attemptNumber) {
    InFlightExchange exchange = exchanges.get(requestId);
    if (exchange != null) {
      exchange.cancelAttempt(attemptNumber);
    }
  }

  @Override
  public void checkHealth(long endpointId) {
    double sentAtMillis = clock.now();
    double deadlineMillis =
        sentAtMillis + settings.limits().connectTimeoutMillis() * HEALTH_CHECK_TIMEOUT_FACTOR;
    upstreams.checkHealth(
        endpointId,
        deadlineMillis,
        (outcome, response) -> {
          ByteBuf body = outcome == AttemptOutcome.OK ? response.content() : Unpooled.EMPTY_BUFFER;
          double[] loadReport =
              LoadReportParser.parse(
                  body.toString(StandardCharsets.UTF_8), settings.loadReportFields());
          enqueue(
              null,
              () ->
                  policy.healthCheckCompleted(
                      clock.now(), endpointId, outcome, clock.now() - sentAtMillis, loadReport));
        });
  }

  @Override
  public void closeIdleConnections(long endpointId) {
    upstreams.closeIdleConnections(endpointId);
  }

  @Override
  public void fetchEndpoints() {
    discovery.fetch();
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    discovery.watch(enabled);
  }

  @Override
  public void scheduleTimer(long token, double atMillis) {
    // Captures the id, since a reference would keep the exchange in memory until the timer is due.
    long requestId = currentExchange == null ? 0 : currentExchange.id();
    loop.schedule(
        () -> enqueue(exchanges.get(requestId), () -> policy.timerExpired(clock.now(), token)),
        clock.nanosUntil(atMillis),
        TimeUnit.NANOSECONDS);
  }

  /** Drops the message: instances have no connections to each other. */
  @Override
  public void sendToPeer(int peerIndex, byte[] payload) {
    ProxyLogger.LOGGER.warning(
        "peer message dropped, instances are not connected to each other: peer=" + peerIndex);
  }

  @Override
  public void log(String text) {
    ProxyLogger.LOGGER.info(text);
  }
}
