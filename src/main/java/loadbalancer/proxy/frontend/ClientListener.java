package loadbalancer.proxy.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.DoubleSupplier;
import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.logging.ProxyLogger;
import loadbalancer.proxy.memory.ReceiveBuffers;

/**
 * The listening socket. Clients that connect while accepting is paused wait in its backlog. All
 * methods but {@link #bind} and {@link #address} are called on the event loop.
 */
final class ClientListener {

  private static final int ACCEPT_BACKLOG = 1_024;

  private final EventLoop loop;
  private final DescriptorBudget descriptors;
  private final DoubleSupplier clock;

  private final ArrivalTimeEstimate connectTime;

  /** Null before {@link #bind}. */
  private Channel channel;

  /** Whether {@link #resumeIfRoom} is running, which may cause a response that calls it again. */
  private boolean resuming;

  private double pausedAtMillis;
  private double pausedMillis;

  /**
   * Creates a listener that is not bound yet.
   *
   * @param loop the event loop of the listening socket and of all accepted connections
   * @param descriptors decides whether clients may be accepted
   * @param clock the time in milliseconds
   * @param monitor measures how late {@code loop} is
   */
  ClientListener(
      EventLoop loop,
      DescriptorBudget descriptors,
      DoubleSupplier clock,
      EventLoopMonitor monitor) {
    this.loop = loop;
    this.descriptors = descriptors;
    this.clock = clock;
    connectTime = new ArrivalTimeEstimate(clock, monitor, clock.getAsDouble());
  }

  /**
   * Listens on an address and begins to accept clients.
   *
   * @param initializer sets up each accepted connection
   * @throws ConfigurationException if the address cannot be bound
   */
  void bind(
      InetSocketAddress address,
      ByteBufAllocator allocator,
      ChannelInitializer<Channel> initializer)
      throws ConfigurationException, InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(this::newChannel)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(new AcceptFailureHandler())
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.newAllocator())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer);
    var bindFuture = bootstrap.bind(address).await();
    if (!bindFuture.isSuccess()) {
      throw new ConfigurationException(
          "cannot listen on " + address + ": " + bindFuture.cause().getMessage());
    }
  }

  private ServerChannel newChannel() {
    NioServerSocketChannel newChannel = new ObservedServerChannel();
    channel = newChannel;
    return newChannel;
  }

  /** The address that is listened on, with the port that was bound if 0 is configured. */
  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** The earliest time at which the clients that are being accepted may have connected. */
  double earliestConnectMillis() {
    return connectTime.earliestArrivalMillis();
  }

  /** Accepts some of the clients in the backlog, even while accepting is paused. */
  void acceptPending() {
    // A shutdown may begin before the address is bound.
    if (channel != null && channel.isActive()) {
      DescriptorBudget.readNow(channel);
    }
  }

  /** Stops accepting clients until {@link #resumeIfRoom}. */
  void pause() {
    if (channel.config().isAutoRead()) {
      channel.config().setAutoRead(false);
      connectTime.onPaused();
      pausedAtMillis = clock.getAsDouble();
    }
  }

  /**
   * Resumes accepting clients if the descriptor budget has room for one. Accepting a client for
   * each one that disconnects, regardless of the budget, could use up the descriptors of the
   * process, and without a free descriptor the JVM can't even load a class.
   */
  void resumeIfRoom() {
    if (resuming || channel.config().isAutoRead()) {
      return;
    }
    resuming = true;
    try {
      if (descriptors.canAcceptClient(clock.getAsDouble())) {
        addPauseUntil(clock.getAsDouble());
        connectTime.onResumed();
        channel.config().setAutoRead(true);
      }
    } finally {
      resuming = false;
    }
  }

  private void addPauseUntil(double now) {
    pausedMillis += now - pausedAtMillis;
    pausedAtMillis = now;
  }

  /** For how long accepting has been paused in total, in milliseconds. */
  double pausedMillis() {
    if (channel != null && !channel.config().isAutoRead()) {
      addPauseUntil(clock.getAsDouble());
    }
    return pausedMillis;
  }

  /** Tells {@link #connectTime} of each accept. */
  private final class ObservedServerChannel extends NioServerSocketChannel {

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      int count = super.doReadMessages(accepted);
      connectTime.onRead(count == 0);
      return count;
    }
  }

  /** Stops accepting after a failed accept. */
  private final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      pause();
      ProxyLogger.LOGGER.warning("client accept failed: error=" + cause);
    }
  }
}
