package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/** Writes responses to one client and counts those that the kernel has not taken yet. */
final class ResponseWriter {

  private final Channel channel;
  private final Runnable onAllWritten;
  private int pendingWrites;

  /**
   * Creates a writer.
   *
   * @param onAllWritten called when a write has ended, in success or not, and no other is pending
   */
  ResponseWriter(Channel channel, Runnable onAllWritten) {
    this.channel = channel;
    this.onAllWritten = onAllWritten;
  }

  boolean hasPendingWrites() {
    return pendingWrites > 0;
  }

  /** Asks the client for the body that it holds back. */
  void writeContinue() {
    channel.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  /**
   * Writes a final response.
   *
   * @param body taken over
   * @param retryAfterMillis 0 for no Retry-After header
   * @param last whether the client is told that the connection closes
   */
  void write(HttpResponseStatus status, ByteBuf body, double retryAfterMillis, boolean last) {
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    response.headers().set("Content-Length", body.readableBytes());
    if (retryAfterMillis > 0) {
      response
          .headers()
          .set("Retry-After", ProtocolHeaders.formatSeconds(Math.ceil(retryAfterMillis)));
    }
    if (last) {
      response.headers().set("Connection", "close");
    }
    pendingWrites++;
    channel.writeAndFlush(response).addListener(written -> onWritten());
  }

  private void onWritten() {
    pendingWrites--;
    if (pendingWrites == 0) {
      onAllWritten.run();
    }
  }
}
