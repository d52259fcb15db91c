package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.memory.MemoryBudgets;

/**
 * Accepts client connections, enforces their timeouts and closes them at shutdown, so that a client
 * that violates the protocol or sends nothing can't hold memory or descriptors for long. All
 * methods but {@link #bind} and {@link #address} are called on the event loop.
 */
public final class Frontend {

  private enum ShutdownPhase {
    /** Clients are served as usual, also in the first part of a shutdown. */
    NONE,
    /** Requests are served; a response closes its connection if no other request has arrived. */
    GRACEFUL,
    /** Requests in flight are served; all others are rejected. */
    FORCED
  }

  private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 200;

  private final EventLoop loop;
  private final ProxyConfig config;
  private final DescriptorBudget descriptors;
  private final MemoryBudgets memoryBudgets;
  private final ByteBufAllocator allocator;
  private final RequestDispatcher dispatcher;
  private final EventLoopMonitor monitor;
  private final RequestValidator validator;
  private final PipelineBudget pipelineBudget;
  private final ClientListener listener;
  private final InactiveClientEvictor evictor;

  /** Open connections, and closed ones until {@link #onClosed}. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** The connections whose request is in flight, by the ID of that request. */
  private final Map<String, ClientConnection> connectionsByRequestId = new HashMap<>();

  private ShutdownPhase shutdownPhase = ShutdownPhase.NONE;

  /**
   * Creates a frontend that does not listen yet.
   *
   * @param loop the event loop of all connections
   * @param descriptors limits the number of accepted connections
   * @param memoryBudgets limit the memory of requests
   * @param dispatcher receives the validated requests
   * @param monitor measures how late {@code loop} is
   */
  public Frontend(
      EventLoop loop,
      ProxyConfig config,
      DescriptorBudget descriptors,
      MemoryBudgets memoryBudgets,
      ByteBufAllocator allocator,
      RequestDispatcher dispatcher,
      EventLoopMonitor monitor) {
    this.loop = loop;
    this.config = config;
    this.descriptors = descriptors;
    this.memoryBudgets = memoryBudgets;
    pipelineBudget = new PipelineBudget(memoryBudgets.heads().limitBytes());
    this.allocator = allocator;
    this.dispatcher = dispatcher;
    this.monitor = monitor;
    validator = new RequestValidator(config);
    listener = new ClientListener(loop, descriptors, dispatcher::now, monitor);
    evictor = new InactiveClientEvictor(connections);
    descriptors.onEvictClient(evictor);
  }

  /**
   * Listens on the configured address and begins to accept clients.
   *
   * @throws ConfigurationException if the address cannot be bound
   */
  public void bind() throws ConfigurationException, InterruptedException {
    listener.bind(config.listen(), allocator, new ConnectionInitializer());
    loop.scheduleAtFixedRate(
        () -> checkTimeouts(dispatcher.now()),
        TIMEOUT_CHECK_INTERVAL_MILLIS,
        TIMEOUT_CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** The address that the frontend listens on, with the port that was bound if 0 is configured. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** From now on, responses ask clients to disconnect unless further requests have arrived. */
  public void beginGracefulShutdown() {
    if (shutdownPhase == ShutdownPhase.NONE) {
      shutdownPhase = ShutdownPhase.GRACEFUL;
    }
  }

  /**
   * Closes idle connections; returns whether no connection is left, so that the process may end.
   */
  public boolean closeIdleConnections() {
    acceptPending();
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.closeIfIdle();
    }
    return connections.isEmpty();
  }

  /**
   * From now on, no request is forwarded. Idle connections are closed and requests received in part
   * are rejected; pipelined and later requests are rejected once the one in flight has its
   * response.
   */
  public void forceShutdown() {
    shutdownPhase = ShutdownPhase.FORCED;
    acceptPending();
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.beginForcedShutdown();
    }
  }

  /** Accepts all clients in the backlog. */
  private void acceptPending() {
    int countBeforeRead = -1;
    // One read accepts several clients, but not always all of them.
    while (countBeforeRead < connections.size()) {
      countBeforeRead = connections.size();
      listener.acceptPending();
    }
  }

  /** Enforces the timeouts of all connections as of the given time, in milliseconds. */
  void checkTimeouts(double now) {
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.checkTimeouts(now);
    }
    resumeAccepting();
  }

  /** For how long accepting clients has been paused in total, in milliseconds. */
  public double acceptPausedMillis() {
    return listener.pausedMillis();
  }

  /** Resumes accepting clients if it was paused and the descriptor budget has room for one. */
  void resumeAccepting() {
    listener.resumeIfRoom();
  }

  /** Sets up an accepted connection. */
  private final class ConnectionInitializer extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      ArrivalTimeEstimate arrivalTime =
          new ArrivalTimeEstimate(dispatcher::now, monitor, listener.earliestConnectMillis());
      ClientConnection connection =
          new ClientConnection(Frontend.this, dispatcher, arrivalTime, channel);
      channel.pipeline().addLast(connection.decoder(), new HttpResponseEncoder(), connection);
    }
  }

  void onAccepted(ClientConnection connection, Channel channel) {
    descriptors.track(channel);
    connections.add(connection);
    if (!descriptors.canAcceptClient(connection.lastActivityAtMillis())) {
      // Stops in time: if an accept fails for lack of a descriptor, Netty pauses for a second.
      listener.pause();
    }
  }

  void onClosed(ClientConnection connection) {
    connections.remove(connection);
    resumeAccepting();
  }

  boolean isShuttingDown() {
    return shutdownPhase != ShutdownPhase.NONE;
  }

  boolean isForcedShutdown() {
    return shutdownPhase == ShutdownPhase.FORCED;
  }

  /** For tests: closes connections that have been inactive for the longest time. */
  InactiveClientEvictor evictor() {
    return evictor;
  }

  PipelineBudget pipelineBudget() {
    return pipelineBudget;
  }

  MemoryBudgets memoryBudgets() {
    return memoryBudgets;
  }

  /** Validates a request that may have arrived as early as the given time. */
  ValidatedRequest validate(FullHttpRequest request, double arrivedAtMillis)
      throws BadRequestException {
    return validator.validate(request, arrivedAtMillis, monitor.recentLatenessMillis());
  }

  /** Returns the connection that waits for the response to a request; null if there is none. */
  ClientConnection connectionWaitingFor(String requestId) {
    return connectionsByRequestId.get(requestId);
  }

  void onRequestStarted(String requestId, ClientConnection connection) {
    connectionsByRequestId.put(requestId, connection);
  }

  void onRequestFinished(String requestId) {
    connectionsByRequestId.remove(requestId);
  }
}
