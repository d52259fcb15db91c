package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.logging.Level;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.LoadReportMode;
import loadbalancer.model.RequestClass;
import loadbalancer.policy.LatencyWeightedPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicyActions;
import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.discovery.EndpointListUpdate;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.frontend.Frontend;
import loadbalancer.proxy.frontend.RequestDispatcher;
import loadbalancer.proxy.logging.LogRateLimiter;
import loadbalancer.proxy.logging.ProxyLogger;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import loadbalancer.proxy.upstream.LoadReportParser;
import loadbalancer.proxy.upstream.UpstreamAttempt;
import loadbalancer.proxy.upstream.UpstreamClient;

/**
 * One balancer: owns the decision module, tells it what happens on the sockets and carries out what
 * it asks for. It decides nothing itself. All of it runs on one event loop thread, so nothing is
 * locked.
 */
public final class ProxyServer implements PolicyActions, RequestDispatcher {

  /** Netty's pool of direct memory: one arena, as there is one thread, in chunks of 512 KiB. */
  private static final int PAGE = 8_192;

  private static final int CHUNK_ORDER = 6;
  private static final int CACHED = 32;

  /** How long new connections may still come after SIGTERM, with time to spare. */
  private static final long LATE_CONNECTIONS_MS = 550;

  private static final long DRAIN_CHECK_MS = 10;

  /**
   * SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more: less is used of
   * it.
   */
  private static final double LONGEST_DRAIN_MS = 3_000;

  private static final double DRAIN_SLACK_MS = 550;

  /** The time that is kept of it to answer what has come, once callers are asked to leave. */
  private static final double LAST_ANSWERS_MS = 1_650;

  /**
   * How long a start waits for discovery's first answer: it comes at once or, in an outage, much
   * later.
   */
  static final long FIRST_NEWS_MS = 500;

  /**
   * How often the log tells how late the loop was, if one of its iterations was longer than this.
   */
  private static final long LATENESS_REPORT_MS = 5_000;

  private static final long LATE_MS = 100;

  /** How long an answer of discovery may lie unread while the loop is busy with other events. */
  private static final double DISCOVERY_POLL_MS = 10;

  private final ProxyConfig config;
  private final EventLoop loop;
  private final EventLoopMonitor monitor;
  private final Clock clock = new Clock();
  private final LoadBalancingPolicy balancer;
  private final UpstreamClient upstreams;
  private final DiscoveryClient discovery;
  private final Frontend frontend;
  private final Map<Long, InFlightExchange> exchanges = new HashMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  /** Open until discovery has told something. */
  private final CountDownLatch untold = new CountDownLatch(1);

  private long lastId;
  private boolean deciding;

  /** When discovery's connection was last looked at beside the loop's own order. */
  private double discoveryPolledAt = Double.NEGATIVE_INFINITY;

  /** The request that the module's present call is about, if it is about one. */
  private InFlightExchange subject;

  /** Something to tell the module, and the request that it is about or null. */
  private record Event(InFlightExchange about, Runnable call) {}

  private ProxyServer(
      ProxyConfig config,
      EventLoop loop,
      EventLoopMonitor monitor,
      Function<PolicyActions, LoadBalancingPolicy> module) {
    this.config = config;
    this.loop = loop;
    this.monitor = monitor;
    // Written by the loop and, of a reload, by one more thread: a count may be off, which does no
    // harm.
    ProxyLogger.LOGGER.setFilter(new LogRateLimiter(clock::now));
    PooledByteBufAllocator memory =
        new PooledByteBufAllocator(true, 0, 1, PAGE, CHUNK_ORDER, CACHED, CACHED, false);
    DescriptorBudget sockets = new DescriptorBudget(config.maxDescriptors());
    balancer = module.apply(this);
    upstreams = new UpstreamClient(loop, clock, config.settings(), sockets, memory);
    discovery =
        new DiscoveryClient(
            loop,
            config,
            memory,
            this::told,
            () -> sockets.evictIdleConnections(clock.now()),
            DiscoveryClient.MAX_WATCH_MILLIS);
    frontend = new Frontend(loop, config, sockets, memory, this, monitor);
  }

  static ProxyServer prepare(ProxyConfig config) throws InterruptedException {
    return prepare(config, LatencyWeightedPolicy::new, FIRST_NEWS_MS);
  }

  /**
   * Begins a balancer with the given module, which lets nobody in yet. Where news is pushed, what
   * the agent has counts as told by now: the known list may be old, and nobody is to be let in
   * before that shows or discovery has been given its time.
   */
  static ProxyServer prepare(
      ProxyConfig config, Function<PolicyActions, LoadBalancingPolicy> module, long firstNewsMillis)
      throws InterruptedException {
    EventLoopMonitor monitor = new EventLoopMonitor(System::nanoTime);
    EventLoop loop =
        (EventLoop)
            new MultiThreadIoEventLoopGroup(
                    1,
                    new DefaultThreadFactory("node", true),
                    monitor.wrap(NioIoHandler.newFactory()))
                .next();
    ProxyServer node = new ProxyServer(config, loop, monitor, module);
    loop.submit(node::begin).sync();
    if (!config.settings().explicitWatch()
        && !node.untold.await(firstNewsMillis, TimeUnit.MILLISECONDS)) {
      ProxyLogger.LOGGER.warning("discovery says nothing: the known list has to do");
    }
    return node;
  }

  /** Lets callers in; it serves once this returns. */
  void serve() throws ConfigurationException, InterruptedException {
    frontend.bind();
    // The first line loads what logging needs, which later, with no descriptor left, would fail.
    ProxyLogger.LOGGER.info("serves as " + config.name());
  }

  private void begin() {
    EndpointListUpdate known =
        new EndpointListUpdate(
            config.knownEndpoints().version(), true, config.knownEndpoints().entries());
    upstreams.updateEndpoints(known, clock.now());
    loop.scheduleAtFixedRate(
        this::reportLateness, LATENESS_REPORT_MS, LATENESS_REPORT_MS, TimeUnit.MILLISECONDS);
    sendToPeer(null, () -> balancer.start(clock.now(), config.settings(), config.seed()));
    sendToPeer(
        null,
        () -> balancer.endpointsChanged(clock.now(), EndpointUpdateType.CACHED, known.endpoints()));
    if (!config.settings().explicitWatch()) {
      // Where news comes to a module unasked, it still has to be fetched over the socket.
      watchEndpoints(true);
    }
  }

  private void reportLateness() {
    EventLoopMonitor.Report report = monitor.report();
    if (report.max() > LATE_MS) {
      ProxyLogger.LOGGER.info(
          "the event loop was late: its "
              + report.iterations()
              + " iterations took up to "
              + report.p50()
              + " ms in the median, "
              + report.p99()
              + " ms in 99 of 100 and "
              + report.max()
              + " ms at most");
    }
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return frontend.address();
  }

  /**
   * Stops as SIGTERM wants it. Callers go on using the connections that they have, and may have
   * nowhere else to go while another balancer restarts too, so they are served as before for as
   * long as there is time to answer what has come. Then they are asked to leave. Returns when the
   * process may end.
   */
  void drain() throws InterruptedException {
    double longest =
        config.settings().requestClasses().stream()
            .mapToDouble(RequestClass::deadlineMillis)
            .max()
            .orElse(0);
    double begun = clock.now();
    double latest = begun + Math.min(longest, LONGEST_DRAIN_MS) + DRAIN_SLACK_MS;
    Thread.sleep((long) Math.max(LATE_CONNECTIONS_MS, latest - begun - LAST_ANSWERS_MS));
    loop.submit(frontend::beginGracefulShutdown).sync();
    boolean done = endDrain();
    while (!done && clock.now() < latest) {
      Thread.sleep(DRAIN_CHECK_MS);
      done = endDrain();
    }
    loop.submit(this::end).sync();
  }

  /**
   * Answers whatever has come so far: what is left without an answer by the end of the process
   * would be lost, and a failure is an answer. What has not been begun is refused, and no
   * connection is left on which another request could come.
   */
  void end() {
    frontend.forceShutdown();
    List.copyOf(exchanges.values()).stream()
        .filter(InFlightExchange::isOpen)
        .forEach(exchange -> fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT));
  }

  /** Closes callers' connections that are idle; whether none is left. */
  boolean endDrain() throws InterruptedException {
    return loop.submit(frontend::closeIdleConnections).sync().getNow();
  }

  /** Takes over what may change while a balancer runs, which is where discovery is. */
  public void reload(ProxyConfig changed) {
    loop.execute(() -> discovery.switchTo(changed.discovery()));
  }

  /** Its parts, for tests; they are to be used on the loop only. */
  public <T> T onLoop(BiFunction<Frontend, UpstreamClient, T> look) throws InterruptedException {
    return loop.submit(() -> look.apply(frontend, upstreams)).sync().getNow();
  }

  /** Ends at once, whatever is under way; for tests. */
  void kill() {
    loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  // ---- What happens
  // ------------------------------------------------------------------------------

  /**
   * Tells the module of an event. An action may cause an event at once, such as a connection that
   * is refused; it waits here until the module has returned from the call in which it acted.
   */
  private void sendToPeer(InFlightExchange about, Runnable call) {
    if (!deciding) {
      pollDiscovery();
    }
    events.add(new Event(about, call));
    if (deciding) {
      return;
    }
    deciding = true;
    try {
      for (Event event = events.poll(); event != null; event = events.poll()) {
        subject = event.about();
        try {
          event.call().run();
        } catch (Throwable e) {
          broken(event.about(), e);
        }
      }
    } finally {
      subject = null;
      deciding = false;
    }
  }

  /**
   * Takes in what discovery has written, ahead of other events that the loop has still to handle:
   * on a busy loop these may take longer than the grace of a drain, and no decision may rest on the
   * old list.
   */
  private void pollDiscovery() {
    double now = clock.now();
    boolean busy = monitor.longestWaitMillis() >= DISCOVERY_POLL_MS;
    if (busy && now - discoveryPolledAt >= DISCOVERY_POLL_MS) {
      discovery.readPending();
      discoveryPolledAt = now;
    }
  }

  /**
   * From when on an answer of discovery that is read now counts as told: it may have been lying
   * unread.
   */
  private double toldSince() {
    return Math.max(discoveryPolledAt, clock.now() - monitor.longestWaitMillis());
  }

  /** A call of the module broke off: what it was about fails, as nobody knows what has run. */
  private void broken(InFlightExchange about, Throwable cause) {
    ProxyLogger.LOGGER.log(Level.SEVERE, "the decision module failed", cause);
    if (about != null && about.isOpen()) {
      fail(about, HttpResponseStatus.INTERNAL_SERVER_ERROR);
    }
  }

  /** Fails a request over the module's head and tells it that the client waits no more. */
  private void fail(InFlightExchange exchange, HttpResponseStatus status) {
    exchange.respond(status, Unpooled.EMPTY_BUFFER, 0);
    exchange.attempts.forEach(ProxyServer::cancel);
    sendToPeer(null, () -> balancer.clientDisconnected(clock.now(), exchange.id));
    settle(exchange);
  }

  /**
   * Takes in news; throws if the module did not take the list, which then has to be asked for anew.
   */
  private void told(EndpointUpdateType change, EndpointListUpdate roster) {
    List<Endpoint> entries = roster == null ? List.of() : roster.endpoints();
    if (roster != null) {
      upstreams.updateEndpoints(roster, toldSince());
    }
    boolean[] taken = new boolean[1];
    sendToPeer(
        null,
        () -> {
          balancer.endpointsChanged(clock.now(), change, entries);
          taken[0] = true;
        });
    if (roster != null) {
      if (!taken[0]) {
        throw new IllegalStateException("the decision module took no list");
      }
      untold.countDown();
    }
  }

  /** Takes a request in; the node owns a reference to {@code message} from here on. */
  @Override
  public DispatchedRequest dispatch(
      Function<Long, ClientRequest> description, FullHttpRequest message, Responder caller) {
    ClientRequest request = description.apply(++lastId);
    InFlightExchange exchange =
        new InFlightExchange(
            request.id(), message, request.deadlineMillis(), caller, this::clientGone);
    exchanges.put(exchange.id, exchange);
    double latest = exchange.deadline + config.settings().rules().responseGraceMillis() / 2;
    exchange.overdueTimer =
        loop.schedule(() -> overdue(exchange), clock.nanosUntil(latest), TimeUnit.NANOSECONDS);
    sendToPeer(exchange, () -> balancer.requestArrived(clock.now(), request));
    return exchange;
  }

  /** The module has left a request without its answer; it must not stay so. */
  private void overdue(InFlightExchange exchange) {
    if (exchange.isOpen()) {
      ProxyLogger.LOGGER.warning("a request was left without an answer");
      fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT);
    }
  }

  /** The client has closed its connection. */
  private void clientGone(InFlightExchange exchange) {
    if (exchange.isOpen()) {
      exchange.close();
      sendToPeer(exchange, () -> balancer.clientDisconnected(clock.now(), exchange.id));
      settle(exchange);
    }
  }

  /**
   * Whether a request is still worth an attempt: its client may have left with no word of it so
   * far.
   */
  private boolean isAwaited(InFlightExchange exchange) {
    if (exchange.isOpen() && !exchange.isClientConnected()) {
      clientGone(exchange);
    }
    return exchange.isOpen();
  }

  private void finished(
      InFlightExchange exchange,
      int number,
      long upstream,
      double sentAt,
      AttemptOutcome result,
      FullHttpResponse response) {
    exchange.runningAttempts--;
    double[] report =
        response == null || config.settings().loadReportMode() != LoadReportMode.PIGGYBACK
            ? null
            : LoadReportParser.parse(
                response.headers().get(ProtocolHeaders.LOAD_REPORT),
                config.settings().loadReportFields());
    if (result == AttemptOutcome.OK) {
      exchange.respond(HttpResponseStatus.OK, response.content(), 0);
    }
    sendToPeer(
        exchange,
        () ->
            balancer.attemptFinished(
                clock.now(),
                new AttemptResult(
                    exchange.id,
                    number,
                    upstream,
                    result,
                    !exchange.isOpen(),
                    clock.now() - sentAt,
                    report)));
    settle(exchange);
  }

  /** Forgets a request once nothing more can come of it. */
  private void settle(InFlightExchange exchange) {
    if (!exchange.isOpen()
        && exchange.runningAttempts == 0
        && exchanges.remove(exchange.id) != null) {
      exchange.request.release();
    }
  }

  @Override
  public double now() {
    return clock.now();
  }

  // ---- What the module asks for
  // ------------------------------------------------------------------

  @Override
  public void sendAttempt(long requestId, long upstream, double timeout) {
    InFlightExchange exchange = exchanges.get(requestId);
    if (exchange == null) {
      return;
    }
    double now = clock.now();
    int number = exchange.attemptCount++;
    exchange.runningAttempts++;
    if (!isAwaited(exchange)
        || now >= exchange.deadline
        || number >= config.settings().limits().maxAttempts()) {
      exchange.attempts.add(null);
      finished(exchange, number, upstream, now, AttemptOutcome.NOT_SENT, null);
      return;
    }
    double until = timeout == 0 ? exchange.deadline : Math.min(exchange.deadline, now + timeout);
    UpstreamClient.Listener listener =
        new UpstreamClient.Listener() {
          @Override
          public void attemptFinished(AttemptOutcome result, FullHttpResponse response) {
            ProxyServer.this.finished(exchange, number, upstream, now, result, response);
          }

          @Override
          public boolean isStillWanted() {
            pollDiscovery();
            return isAwaited(exchange);
          }
        };
    exchange.attempts.add(upstreams.send(upstream, exchange.request, until, listener));
  }

  @Override
  public void reject(long requestId, double retryAfter) {
    answer(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter);
  }

  @Override
  public void failRequest(long requestId) {
    answer(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
  }

  private void answer(long requestId, HttpResponseStatus status, double retryAfter) {
    InFlightExchange exchange = exchanges.get(requestId);
    if (exchange != null) {
      exchange.respond(status, Unpooled.EMPTY_BUFFER, retryAfter);
      settle(exchange);
    }
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    InFlightExchange exchange = exchanges.get(requestId);
    if (exchange != null && attempt < exchange.attempts.size()) {
      cancel(exchange.attempts.get(attempt));
    }
  }

  private static void cancel(UpstreamAttempt attempt) {
    if (attempt != null) {
      attempt.cancel();
    }
  }

  @Override
  public void checkHealth(long upstream) {
    double sentAt = clock.now();
    double until = sentAt + config.settings().limits().connectTimeoutMillis() * 2;
    upstreams.checkHealth(
        upstream,
        until,
        (result, response) -> {
          ByteBuf body = result == AttemptOutcome.OK ? response.content() : Unpooled.EMPTY_BUFFER;
          double[] report =
              LoadReportParser.parse(
                  body.toString(StandardCharsets.UTF_8), config.settings().loadReportFields());
          sendToPeer(
              null,
              () ->
                  balancer.healthCheckCompleted(
                      clock.now(), upstream, result, clock.now() - sentAt, report));
        });
  }

  @Override
  public void closeIdleConnections(long upstream) {
    upstreams.closeIdleConnections(upstream);
  }

  @Override
  public void fetchEndpoints() {
    discovery.fetch();
  }

  @Override
  public void watchEndpoints(boolean on) {
    discovery.watch(on);
  }

  @Override
  public void scheduleTimer(long token, double at) {
    // The number and not the request itself, which the timer would keep in memory until it is due.
    long about = subject == null ? 0 : subject.id;
    loop.schedule(
        () -> sendToPeer(exchanges.get(about), () -> balancer.timerExpired(clock.now(), token)),
        clock.nanosUntil(at),
        TimeUnit.NANOSECONDS);
  }

  /** Balancers of this deployment have no way to talk to each other. */
  @Override
  public void sendToPeer(int peer, byte[] payload) {
    ProxyLogger.LOGGER.warning("the module wants to talk to its peers, which it can't here");
  }

  @Override
  public void log(String text) {
    ProxyLogger.LOGGER.info(text);
  }
}
