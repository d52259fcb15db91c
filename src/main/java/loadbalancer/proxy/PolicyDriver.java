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
 * only, except for {@link #awaitFirstUpdate}.
 */
final class PolicyDriver implements PolicyActions, RequestDispatcher {

  /** A health check may take this many times the connect timeout. */
  private static final double CONNECT_TIMEOUTS_PER_HEALTH_CHECK = 2;

  /** An event of the policy, and the exchange that it concerns or null. */
  private record Event(InFlightExchange exchange, Runnable notification) {}

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
  private final CountDownLatch firstUpdate = new CountDownLatch(1);
  private long lastRequestId;

  /** The exchange that the event being handled concerns; null if it concerns none. */
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
      // The policy gets updates without asking, yet they have to be fetched over a socket.
      watchEndpoints(true);
    }
  }

  /**
   * Waits on any thread but the event loop's until discovery has sent an endpoint list; returns
   * whether it has.
   */
  boolean awaitFirstUpdate(long timeoutMillis) throws InterruptedException {
    return firstUpdate.await(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /** Replaces what can change while the process runs: the address of discovery. */
  void reconfigure(ProxyConfig changed) {
    discovery.switchTo(changed.discovery());
  }

  /** Fails every request that still waits for its final response. */
  void failOpenRequests() {
    List.copyOf(exchanges.values()).stream()
        .filter(InFlightExchange::isOpen)
        .forEach(exchange -> fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT));
  }

  /**
   * Notifies the policy of an event. An action may cause an event at once, such as a refused
   * connection; that event waits until the policy has returned from the present one.
   */
  private void enqueue(InFlightExchange exchange, Runnable notification) {
    if (!events.isRunning()) {
      discoveryReader.readIfLate();
    }
    events.add(new Event(exchange, notification));
  }

  private void handle(Event event) {
    currentExchange = event.exchange();
    try {
      event.notification().run();
    } catch (Throwable e) {
      policyFailed(event.exchange(), e);
    } finally {
      currentExchange = null;
    }
  }

  /** Fails the request of a broken event: nothing is known of which actions have been taken. */
  private void policyFailed(InFlightExchange exchange, Throwable cause) {
    ProxyLogger.LOGGER.log(Level.SEVERE, "policy event failed", cause);
    if (exchange != null && exchange.isOpen()) {
      fail(exchange, HttpResponseStatus.INTERNAL_SERVER_ERROR);
    }
  }

  /** Fails a request without the policy, which is notified as if the client had disconnected. */
  private void fail(InFlightExchange exchange, HttpResponseStatus status) {
    exchange.respond(status, Unpooled.EMPTY_BUFFER, 0);
    exchange.cancelAttempts();
    enqueue(null, () -> policy.clientDisconnected(clock.now(), exchange.id()));
    removeIfSettled(exchange);
  }

  /**
   * Handles a discovery event; {@code update} is null if the call failed.
   *
   * @throws IllegalStateException if the policy failed to accept the list, which has to be fetched
   *     again
   */
  private void endpointsUpdated(EndpointUpdateType type, EndpointListUpdate update) {
    List<Endpoint> endpoints = update == null ? List.of() : update.endpoints();
    if (update != null) {
      upstreams.updateEndpoints(update, discoveryReader.earliestArrivalMillis());
    }
    boolean[] accepted = new boolean[1];
    enqueue(
        null,
        () -> {
          policy.endpointsChanged(clock.now(), type, endpoints);
          accepted[0] = true;
        });
    if (update == null) {
      return;
    }
    if (!accepted[0]) {
      throw new IllegalStateException(
          "the policy did not accept endpoint list version " + update.version());
    }
    firstUpdate.countDown();
  }

  @Override
  public double now() {
    return clock.now();
  }

  @Override
  public DispatchedRequest dispatch(
      Function<Long, ClientRequest> description, FullHttpRequest message, Responder responder) {
    ClientRequest request = description.apply(++lastRequestId);
    InFlightExchange exchange =
        new InFlightExchange(
            request.id(), message, request.deadlineMillis(), responder, this::clientDisconnected);
    exchanges.put(exchange.id(), exchange);
    double overdueMillis = exchange.overdueAtMillis(settings.rules().responseGraceMillis());
    exchange.setOverdueTimer(
        loop.schedule(
            () -> failOverdue(exchange), clock.nanosUntil(overdueMillis), TimeUnit.NANOSECONDS));
    enqueue(exchange, () -> policy.requestArrived(clock.now(), request));
    return exchange;
  }

  /** Guards against a policy that leaves a request without its final response. */
  private void failOverdue(InFlightExchange exchange) {
    if (exchange.isOpen()) {
      ProxyLogger.LOGGER.warning("request overdue: id=" + exchange.id());
      fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT);
    }
  }

  private void clientDisconnected(InFlightExchange exchange) {
    if (exchange.isOpen()) {
      exchange.close();
      enqueue(exchange, () -> policy.clientDisconnected(clock.now(), exchange.id()));
      removeIfSettled(exchange);
    }
  }

  /** Whether an attempt is still of use; notices a disconnect that the event loop has not read. */
  private boolean isAttemptWanted(InFlightExchange exchange) {
    if (exchange.isOpen() && !exchange.isClientConnected()) {
      clientDisconnected(exchange);
    }
    return exchange.isOpen();
  }

  /** Forgets an exchange and releases its message once nothing more can happen to it. */
  private void removeIfSettled(InFlightExchange exchange) {
    if (exchange.isSettled() && exchanges.remove(exchange.id()) != null) {
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
    if (!isAttemptWanted(exchange)
        || now >= exchange.deadlineMillis()
        || listener.number >= settings.limits().maxAttempts()) {
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

  /** Reports the end of one attempt to the policy. */
  private final class UpstreamAttemptListener implements UpstreamClient.Listener {

    private final InFlightExchange exchange;
    private final int number;
    private final long endpointId;
    private final double sentAtMillis;

    UpstreamAttemptListener(
        InFlightExchange exchange, int number, long endpointId, double sentAtMillis) {
      this.exchange = exchange;
      this.number = number;
      this.endpointId = endpointId;
      this.sentAtMillis = sentAtMillis;
    }

    @Override
    public boolean isStillWanted() {
      discoveryReader.readIfLate();
      return isAttemptWanted(exchange);
    }

    @Override
    public void attemptFinished(AttemptOutcome outcome, FullHttpResponse response) {
      exchange.endAttempt();
      double[] loadReport = piggybackedLoadReport(response);
      if (outcome == AttemptOutcome.OK) {
        exchange.respond(HttpResponseStatus.OK, response.content(), 0);
      }
      enqueue(exchange, () -> policy.attemptFinished(clock.now(), result(outcome, loadReport)));
      removeIfSettled(exchange);
    }

    private AttemptResult result(AttemptOutcome outcome, double[] loadReport) {
      return new AttemptResult(
          exchange.id(),
          number,
          endpointId,
          outcome,
          !exchange.isOpen(),
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
      removeIfSettled(exchange);
    }
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    InFlightExchange exchange = exchanges.get(requestId);
    if (exchange != null) {
      exchange.cancelAttempt(attempt);
    }
  }

  @Override
  public void checkHealth(long endpointId) {
    double sentAtMillis = clock.now();
    double deadlineMillis =
        sentAtMillis + settings.limits().connectTimeoutMillis() * CONNECT_TIMEOUTS_PER_HEALTH_CHECK;
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
    // The id and not the exchange, which the timer would keep in memory until it is due.
    long requestId = currentExchange == null ? 0 : currentExchange.id();
    loop.schedule(
        () -> enqueue(exchanges.get(requestId), () -> policy.timerExpired(clock.now(), token)),
        clock.nanosUntil(atMillis),
        TimeUnit.NANOSECONDS);
  }

  /** Instances of this deployment have no connection to each other. */
  @Override
  public void sendToPeer(int peerIndex, byte[] payload) {
    ProxyLogger.LOGGER.warning("peer message dropped: peer=" + peerIndex);
  }

  @Override
  public void log(String text) {
    ProxyLogger.LOGGER.info(text);
  }
}
