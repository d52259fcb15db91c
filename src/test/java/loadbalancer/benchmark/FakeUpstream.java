package loadbalancer.benchmark;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * An upstream on loopback that runs a limited number of requests at a time, rejects others and
 * records all of them. A fixed share of the requests that it runs ends in an error, a connection
 * reset or no response.
 */
final class FakeUpstream implements AutoCloseable {

  /**
   * A completely received request, the time of its receipt by {@link System#nanoTime()}, and
   * whether it ran.
   */
  record Received(
      String transactionId, String idempotencyKey, String body, long atNanos, boolean ran) {}

  private static final int MAX_REQUEST_BYTES = 64 * 1024;
  private static final long SERVICE_TIME_MILLIS = 10;

  // One of this many requests that run ends with an error, a reset or no response.
  private static final int ERROR_EVERY = 11;

  private static final int RESET_EVERY = 13;
  private static final int NO_RESPONSE_EVERY = 47;

  private final EventLoop loop;
  private final int maxConcurrency;
  private final Channel server;
  private final Queue<Received> received = new ConcurrentLinkedQueue<>();
  private int runningCount;
  private int runCount;

  /** Listens at a free port; at most {@code maxConcurrency} requests run at a time. */
  FakeUpstream(EventLoop loop, int maxConcurrency) {
    this.loop = loop;
    this.maxConcurrency = maxConcurrency;
    server =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_REQUEST_BYTES),
                            new RequestHandler());
                  }
                })
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .syncUninterruptibly()
            .channel();
  }

  String address() {
    return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
  }

  Queue<Received> received() {
    return received;
  }

  /** Returns the body of the response to the request with a transaction ID. */
  static String responseTo(String transactionId) {
    return "response to " + transactionId;
  }

  @Override
  public void close() {
    server.close().syncUninterruptibly();
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      String transactionId = request.headers().get("X-Txn");
      boolean ran = runningCount < maxConcurrency;
      received.add(
          new Received(
              transactionId,
              request.headers().get("Idempotency-Key"),
              request.content().toString(StandardCharsets.US_ASCII),
              System.nanoTime(),
              ran));
      if (!ran) {
        DefaultFullHttpResponse rejection = response(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
        rejection.headers().set("X-Turned-Away", "1");
        context.writeAndFlush(rejection);
        return;
      }
      runningCount++;
      runCount++;
      int runNumber = runCount;
      loop.schedule(
          () -> {
            runningCount--;
            finish(context, transactionId, runNumber);
          },
          SERVICE_TIME_MILLIS,
          TimeUnit.MILLISECONDS);
    }

    private void finish(ChannelHandlerContext context, String transactionId, int runNumber) {
      if (runNumber % RESET_EVERY == 0) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
      } else if (runNumber % ERROR_EVERY == 0) {
        context.writeAndFlush(response(HttpResponseStatus.INTERNAL_SERVER_ERROR, ""));
      } else if (runNumber % NO_RESPONSE_EVERY != 0) {
        context.writeAndFlush(response(HttpResponseStatus.OK, responseTo(transactionId)));
      }
    }

    private static DefaultFullHttpResponse response(HttpResponseStatus status, String body) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
      response.headers().setInt("Content-Length", body.length());
      return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
