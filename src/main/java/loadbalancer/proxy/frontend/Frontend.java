package loadbalancer.proxy.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
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
import loadbalancer.proxy.frontend.RequestValidator.Template;
import loadbalancer.proxy.logging.ProxyLogger;

/**
 * Takes callers' requests and writes each one's answer. A caller that sends what is of no use, or
 * nothing, has an error or the end of its connection soon, and can't hold memory or descriptors for
 * longer.
 */
public final class Frontend {

  private static final int BACKLOG = 1_024;

  /** The bytes that the requests sent ahead of their turn may hold, over all connections. */
  private static final int MAX_AHEAD_BYTES = 8 * 1024 * 1024;

  private static final long SWEEP_MS = 200;

  private final EventLoop loop;
  private final ProxyConfig config;
  private final DescriptorBudget sockets;
  private final ByteBufAllocator memory;
  private final RequestDispatcher node;
  private final EventLoopMonitor monitor;
  private final RequestValidator check;

  /** Every caller's connection, in the order in which they came or last became idle. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Who waits for the answer to a request, by its X-Txn. */
  private final Map<String, ClientConnection> open = new HashMap<>();

  private Channel listening;
  private boolean draining;
  private boolean ending;

  /** Bytes of the requests that wait behind others, over all connections. */
  private int aheadBytes;

  public Frontend(
      EventLoop loop,
      ProxyConfig config,
      DescriptorBudget sockets,
      ByteBufAllocator memory,
      RequestDispatcher node,
      EventLoopMonitor monitor) {
    this.loop = loop;
    this.config = config;
    this.sockets = sockets;
    this.memory = memory;
    this.node = node;
    this.monitor = monitor;
    check = new RequestValidator(config);
    sockets.onEvictClient(this::evictIdle);
  }

  public void bind() throws ConfigurationException, InterruptedException {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(new Acceptor())
            .childOption(ChannelOption.ALLOCATOR, memory)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    // Known before anybody who was let in can leave again.
                    listening = channel.parent();
                    ClientConnection connection =
                        new ClientConnection(Frontend.this, node, monitor, channel);
                    channel
                        .pipeline()
                        .addLast(connection.decoder(), new HttpResponseEncoder(), connection);
                  }
                });
    var bound = server.bind(config.listen()).await();
    if (!bound.isSuccess()) {
      throw new ConfigurationException(
          "cannot listen on " + config.listen() + ": " + bound.cause().getMessage());
    }
    listening = bound.channel();
    loop.scheduleAtFixedRate(() -> sweep(node.now()), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  /** From now on every answer asks its caller to leave. */
  public void beginGracefulShutdown() {
    draining = true;
  }

  /** Closes what is idle and tells whether nothing is left, so that the process may end. */
  public boolean closeIdleConnections() {
    letIn();
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.closeIfIdle();
    }
    return connections.isEmpty();
  }

  /**
   * From now on nothing more is begun: whoever is idle or has sent half a request goes, and what
   * waits for its turn, or comes now, is refused once the request at work has its answer.
   */
  public void forceShutdown() {
    draining = true;
    ending = true;
    letIn();
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.end();
    }
  }

  /** Lets in all that wait for it. */
  private void letIn() {
    int before = -1;
    // Several are let in at a time. SIGTERM may come before anybody could be.
    while (listening != null && before < connections.size()) {
      before = connections.size();
      DescriptorBudget.readNow(listening);
    }
  }

  /** Ends what has taken too long by the given time. */
  void sweep(double now) {
    for (ClientConnection connection : new ArrayList<>(connections)) {
      connection.sweep(now);
    }
    resume();
  }

  /**
   * Lets callers in again if there is room. To do so at each close, room or not, would let in more
   * than leave and use up the descriptors, without which the virtual machine can't even load a
   * class.
   */
  void resume() {
    if (!listening.config().isAutoRead() && sockets.canAcceptClient(node.now())) {
      listening.config().setAutoRead(true);
    }
  }

  /**
   * Closes a caller's connection that nothing is at work on since before the given time, the
   * longest such first, as it may between requests.
   */
  private boolean evictIdle(double before) {
    for (ClientConnection connection : new ArrayList<>(connections)) {
      // One that is closed stays here until its end is told: to count it again would make no room.
      if (connection.isOpen()
          && connection.since() < before
          && (connection.lingers() || connection.closeIfIdle())) {
        connection.close();
        return true;
      }
    }
    return false;
  }

  /**
   * Hears of a caller that could not be let in, and waits for the next sweep before it tries again.
   */
  private static final class Acceptor extends ChannelInboundHandlerAdapter {

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.channel().config().setAutoRead(false);
      ProxyLogger.LOGGER.warning("a caller could not be let in: " + cause);
    }
  }

  // ---- What its connections tell and ask
  // -----------------------------------------------------------

  /** A caller was let in. */
  void opened(ClientConnection connection, Channel channel) {
    sockets.track(channel);
    connections.add(connection);
    if (!sockets.canAcceptClient(connection.since())) {
      // Failing to accept for want of a descriptor would stop Netty from trying for a second.
      listening.config().setAutoRead(false);
    }
  }

  /** A connection had an answer: the longest idle come first. */
  void answered(ClientConnection connection) {
    connections.remove(connection);
    connections.add(connection);
  }

  void closed(ClientConnection connection) {
    connections.remove(connection);
    resume();
  }

  boolean isDraining() {
    return draining;
  }

  boolean isEnding() {
    return ending;
  }

  /** Counts bytes of a request that has to wait for its turn; negative once it waits no more. */
  void holdAhead(int bytes) {
    aheadBytes += bytes;
  }

  boolean isFullAhead() {
    return aheadBytes > MAX_AHEAD_BYTES;
  }

  /** Reads a whole request that came at a time. */
  Template check(FullHttpRequest request, double arrivedAt) throws BadRequestException {
    return check.read(request, arrivedAt, monitor.recentLatenessMillis());
  }

  /** Who waits for the answer to the request of that X-Txn, or null. */
  ClientConnection atWork(String txn) {
    return open.get(txn);
  }

  void startWork(String txn, ClientConnection connection) {
    open.put(txn, connection);
  }

  void finishWork(String txn) {
    open.remove(txn);
  }
}
