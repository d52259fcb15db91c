package loadbalancer.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import loadbalancer.model.PolicySettings;
import loadbalancer.proxy.discovery.EndpointListUpdate.Entry;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.DescriptorBudget;

/** Opens connections to endpoints within the descriptor budget. Confined to the event loop. */
final class UpstreamConnector {

  private final Clock clock;
  private final DescriptorBudget descriptorBudget;
  private final ConnectionPool pool;
  private final double connectTimeoutMillis;
  private final Bootstrap bootstrap;
  private ConnectTimeEstimate connectTime;
  private int pendingConnections;

  UpstreamConnector(
      EventLoop loop,
      Clock clock,
      PolicySettings settings,
      DescriptorBudget descriptorBudget,
      ByteBufAllocator memory,
      ConnectionPool pool,
      UpstreamClientOptions options) {
    this.clock = clock;
    this.descriptorBudget = descriptorBudget;
    this.pool = pool;
    connectTimeoutMillis = settings.limits().connectTimeoutMillis();
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, memory)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMillis))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    new UpstreamConnection(channel, UpstreamConnector.this.pool).addToPipeline();
                  }
                });
    useOptions(options);
  }

  /** Replaces the options, and forgets how long connections took. */
  void useOptions(UpstreamClientOptions options) {
    connectTime = new ConnectTimeEstimate(connectTimeoutMillis, options.initialConnectMillis());
    Integer sendBufferBytes =
        options.sendBufferBytes().isPresent() ? options.sendBufferBytes().getAsInt() : null;
    // Null leaves the size to the system.
    bootstrap.option(ChannelOption.SO_SNDBUF, sendBufferBytes);
  }

  /** Milliseconds to wait for a connection before the connect is retried. */
  double retryDelayMillis() {
    return connectTime.retryDelayMillis();
  }

  /** How many connections are not established yet. */
  int pendingConnections() {
    return pendingConnections;
  }

  /**
   * Opens a connection for an attempt, which is notified of the result; false, without
   * notification, if there is no descriptor for it.
   */
  boolean connect(Entry entry, UpstreamAttempt attempt) {
    if (!descriptorBudget.hasRoomForUpstream(clock.now())) {
      return false;
    }
    ChannelFuture connecting = bootstrap.connect(entry.address());
    if (connecting.cause() instanceof ChannelException) {
      return false;
    }
    Channel channel = connecting.channel();
    descriptorBudget.track(channel);
    attempt.connectStarted(channel);
    pendingConnections++;
    double startedAt = clock.now();
    connecting.addListener(
        result -> {
          pendingConnections--;
          if (result.isSuccess()) {
            connectTime.observe(clock.now() - startedAt);
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
