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
 * An upstream on loopback that serves a few requests at a time, turns others away and keeps a
 * record. Some of those that ran end in an error, a reset or in silence, by their turn.
 */
final class UpstreamStandIn implements AutoCloseable {

  /** A request that came whole, when, by {@link System#nanoTime()}, and whether it ran. */
  record Received(String transaction, String idempotencyKey, String body, long at, boolean ran) {}

  private static final int MOST_REQUEST = 64 * 1024;
  private static final long SERVICE_MS = 10;

  /** Which of the requests that run end otherwise than served. */
  private static final int ERROR_EVERY = 11;

  private static final int RESET_EVERY = 13;
  private static final int SILENCE_EVERY = 47;

  private final EventLoop loop;
  private final int slots;
  private final Channel server;
  private final Queue<Received> received = new ConcurrentLinkedQueue<>();
  private int working;
  private int runs;

  /** Listens at a free port; at most {@code slots} requests are at work at a time. */
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
                            new HttpObjectAggregator(MOST_REQUEST),
                            new Requests());
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

  /** The body of the answer to a request. */
  static String answerTo(String transaction) {
    return "made for " + transaction;
  }

  @Override
  public void close() {
    server.close().syncUninterruptibly();
  }

  private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      String transaction = request.headers().get("X-Txn");
      boolean ran = working < slots;
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
      working++;
      runs++;
      int turn = runs;
      loop.schedule(
          () -> {
            working--;
            end(context, transaction, turn);
          },
          SERVICE_MS,
          TimeUnit.MILLISECONDS);
    }

    private void end(ChannelHandlerContext context, String transaction, int turn) {
      if (turn % RESET_EVERY == 0) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
      } else if (turn % ERROR_EVERY == 0) {
        context.writeAndFlush(response(HttpResponseStatus.INTERNAL_SERVER_ERROR, ""));
      } else if (turn % SILENCE_EVERY != 0) {
        context.writeAndFlush(response(HttpResponseStatus.OK, answerTo(transaction)));
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
