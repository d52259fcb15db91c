package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.proxy.memory.MemoryBudget;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/** Writes responses to one client and counts those not yet passed to the kernel completely. */
final class ResponseWriter {

  private final Channel channel;
  private final MemoryBudget bodyBudget;
  private final Runnable onAllWritten;
  private int pendingWrites;

  /**
   * Creates a writer.
   *
   * @param bodyBudget counts the bodies that are not passed to the kernel completely
   * @param onAllWritten called when a write of a final response has succeeded or failed and no
   *     other is pending
   */
  ResponseWriter(Channel channel, MemoryBudget bodyBudget, Runnable onAllWritten) {
    this.channel = channel;
    this.bodyBudget = bodyBudget;
    this.onAllWritten = onAllWritten;
  }

  boolean hasPendingWrites() {
    return pendingWrites > 0;
  }

  /** Writes 100 (Continue), for which a client waits before it sends the body. */
  void writeContinue() {
    channel.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  /**
   * Writes a final response.
   *
   * @param body the callee takes ownership of one reference to it
   * @param retryAfterMillis the time to give in the Retry-After header; 0 for no header
   * @param closesConnection whether the response tells the client that the connection will close
   */
  void write(
      HttpResponseStatus status, ByteBuf body, double retryAfterMillis, boolean closesConnection) {
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    int bodyBytes = body.readableBytes();
    response.headers().set("Content-Length", bodyBytes);
    if (retryAfterMillis > 0) {
      response
          .headers()
          .set("Retry-After", ProtocolHeaders.formatSeconds(Math.ceil(retryAfterMillis)));
    }
    if (closesConnection) {
      response.headers().set("Connection", "close");
    }
    pendingWrites++;
    bodyBudget.reserve(bodyBytes);
    channel.writeAndFlush(response).addListener(written -> onWritten(bodyBytes));
  }

  private void onWritten(int bodyBytes) {
    bodyBudget.release(bodyBytes);
    pendingWrites--;
    if (pendingWrites == 0) {
      onAllWritten.run();
    }
  }
}
