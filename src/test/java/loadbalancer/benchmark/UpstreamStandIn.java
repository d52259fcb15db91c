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
 * An upstream on loopback that serves a few requests at a time, rejects others and records all. A
 * fixed share of those that ran ends in an error, a reset or no response.
 */
final class UpstreamStandIn implements AutoCloseable {

  /** A complete request, its time by {@link System#nanoTime()}, and whether it ran. */
  record Received(String transaction, String idempotencyKey, String body, long at, boolean ran) {}

  private static final int MAX_REQUEST_BYTES = 64 * 1024;
  private static final long SERVICE_TIME_MILLIS = 10;

  /** One of so many requests that run ends in this way. */
  private static final int ERROR_EVERY = 11;

  private static final int RESET_EVERY = 13;
  private static final int NO_RESPONSE_EVERY = 47;

  private final EventLoop loop;
  private final int slots;
  private final Channel server;
  private final Queue<Received> received = new ConcurrentLinkedQueue<>();
  private int running;
  private int runs;

  /** Listens at a free port; at most {@code slots} requests run at a time. */
  UpstreamStandIn(EventLoop loop, int slots) {
    this.loop = loop;
    this.slots = slots;
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

  /** The body of the response to a request. */
  static String responseTo(String transaction) {
    return "made for " + transaction;
  }

  @Override
  public void close() {
    server.close().syncUninterruptibly();
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      String transaction = request.headers().get("X-Txn");
      boolean ran = running < slots;
      received.add(
          new Received(
              transaction,
              request.headers().get("Idempotency-Key"),
              request.content().toString(StandardCharsets.US_ASCII),
              System.nanoTime(),
              ran));
      if (!ran) {
        DefaultFullHttpResponse busy = response(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
        busy.headers().set("X-Turned-Away", "1");
        context.writeAndFlush(busy);
        return;
      }
      running++;
      runs++;
      int turn = runs;
      loop.schedule(
          () -> {
            running--;
            end(context, transaction, turn);
          },
          SERVICE_TIME_MILLIS,
          TimeUnit.MILLISECONDS);
    }

    private void end(ChannelHandlerContext context, String transaction, int turn) {
      if (turn % RESET_EVERY == 0) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
      } else if (turn % ERROR_EVERY == 0) {
        context.writeAndFlush(response(HttpResponseStatus.INTERNAL_SERVER_ERROR, ""));
      } else if (turn % NO_RESPONSE_EVERY != 0) {
        context.writeAndFlush(response(HttpResponseStatus.OK, responseTo(transaction)));
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
