package loadbalancer.proxy.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.memory.CompactingAggregator;

/**
 * Opens connections to discovery and passes the responses to their calls. Used on the event loop
 * thread only.
 */
final class DiscoveryTransport {

  private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final EventLoop loop;
  private final Runnable freeDescriptors;
  private final Bootstrap bootstrap;
  private boolean handlingResponse;

  /**
   * Creates a transport without connections.
   *
   * @param channelFactory creates the sockets; tests pass one that fails
   * @param freeDescriptors closes idle connections; called if no descriptor is left for a new one
   */
  DiscoveryTransport(
      EventLoop loop,
      ByteBufAllocator allocator,
      ChannelFactory<Channel> channelFactory,
      Runnable freeDescriptors) {
    this.loop = loop;
    this.freeDescriptors = freeDescriptors;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(channelFactory)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(),
                            new CompactingAggregator(MAX_RESPONSE_BYTES),
                            new DiscoveryResponseHandler(DiscoveryTransport.this));
                  }
                });
  }

  ChannelFuture connect(InetSocketAddress address) {
    return bootstrap.connect(address);
  }

  void freeDescriptors() {
    freeDescriptors.run();
  }

  void execute(Runnable task) {
    loop.execute(task);
  }

  Future<?> schedule(Runnable task, int delayMillis) {
    return loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Passes a response to its call. */
  void deliver(DiscoveryCall call, FullHttpResponse response) {
    handlingResponse = true;
    try {
      call.onResponse(response);
    } finally {
      handlingResponse = false;
    }
  }

  /**
   * Whether a response is being handled. If so, its channel is being read and must not be read
   * again until that read has returned.
   */
  boolean isHandlingResponse() {
    return handlingResponse;
  }
}
