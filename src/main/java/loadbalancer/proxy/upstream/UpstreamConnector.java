package loadbalancer.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import loadbalancer.model.PolicySettings;
import loadbalancer.proxy.discovery.EndpointListUpdate.Entry;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.memory.MemoryBudgets;
import loadbalancer.proxy.memory.ReceiveBuffers;

/**
 * Opens connections to endpoints within the descriptor budget. Used on the event loop thread only.
 */
final class UpstreamConnector {

  private final Clock clock;
  private final DescriptorBudget descriptorBudget;
  private final MemoryBudgets memoryBudgets;
  private final ConnectionPool pool;
  private final double connectTimeoutMillis;
  private final Bootstrap bootstrap;
  private ConnectTimeEstimate connectTimeEstimate;
  private int pendingConnects;

  UpstreamConnector(
      EventLoop loop,
      Clock clock,
      PolicySettings settings,
      DescriptorBudget descriptorBudget,
      MemoryBudgets memoryBudgets,
      ByteBufAllocator allocator,
      ConnectionPool pool,
      UpstreamClientOptions options) {
    this.clock = clock;
    this.descriptorBudget = descriptorBudget;
    this.memoryBudgets = memoryBudgets;
    this.pool = pool;
    connectTimeoutMillis = settings.limits().connectTimeoutMillis();
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.newAllocator())
            .option(ChannelOption.TCP_NODELAY, true)
            // Without it, Netty reports a FIN and a reset in the same way.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMillis))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    newConnection(channel).addToPipeline();
                  }
                });
    useOptions(options);
  }

  private UpstreamConnection newConnection(SocketChannel channel) {
    return new UpstreamConnection(channel, pool, memoryBudgets);
  }

  /** Replaces the options and discards the measured connect times. */
  void useOptions(UpstreamClientOptions options) {
    connectTimeEstimate =
        new ConnectTimeEstimate(connectTimeoutMillis, options.initialMedianConnectMillis());
    Integer sendBufferBytes =
        options.sendBufferBytes().isPresent() ? options.sendBufferBytes().getAsInt() : null;
    // Null removes the option, so that the operating system chooses the size.
    bootstrap.option(ChannelOption.SO_SNDBUF, sendBufferBytes);
  }

  /** How long a connect may be pending before it is retried, in milliseconds. */
  double retryDelayMillis() {
    return connectTimeEstimate.retryDelayMillis();
  }

  /** The number of connects that have neither succeeded nor failed yet. */
  int pendingConnects() {
    return pendingConnects;
  }

  /**
   * Opens a connection for an attempt, which is notified when the connect succeeds or fails.
   * Returns false, and does not notify the attempt, if no descriptor is left for the connection.
   */
  boolean connect(Entry entry, UpstreamAttempt attempt) {
    if (!descriptorBudget.hasRoomForUpstream(clock.now())) {
      return false;
    }
    ChannelFuture connectFuture = bootstrap.connect(entry.address());
    if (connectFuture.cause() instanceof ChannelException) {
      return false;
    }
    Channel channel = connectFuture.channel();
    descriptorBudget.track(channel);
    attempt.connectStarted(channel);
    pendingConnects++;
    double startedAtMillis = clock.now();
    connectFuture.addListener(
        result -> {
          pendingConnects--;
          if (result.isSuccess()) {
            connectTimeEstimate.recordConnectTime(clock.now() - startedAtMillis);
            UpstreamConnection connection = channel.pipeline().get(UpstreamConnection.class);
            connection.established(entry);
            attempt.connected(connection);
          } else {
            attempt.connectFailed(channel);
          }
        });
    return true;
  }
}
