package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.proxy.memory.MemoryBudget;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * Writes responses to one client, counts those not yet passed to the kernel completely, and closes
 * the connection after the last one.
 */
final class ResponseWriter {

  private enum State {
    /** Further responses may follow. */
    OPEN,
    /** The last response is being or about to be written. */
    WRITING_LAST_RESPONSE,
    /** The last response is written; the client has a limited time to close its side. */
    LINGERING
  }

  private final Channel channel;
  private final MemoryBudget bodyBudget;
  private final LingeringClose lingeringClose;
  private State state = State.OPEN;
  private int pendingWrites;

  /**
   * Creates a writer.
   *
   * @param decoder the decoder of the channel, which a lingering close removes
   * @param bodyBudget counts the bodies that are not passed to the kernel completely
   */
  ResponseWriter(Channel channel, ChannelHandler decoder, MemoryBudget bodyBudget) {
    this.channel = channel;
    this.bodyBudget = bodyBudget;
    lingeringClose = new LingeringClose(channel, decoder);
  }

  /** Whether further requests may be answered, as the last response is not due yet. */
  boolean isOpen() {
    return state == State.OPEN;
  }

  /** Whether the last response is written and only the client has to close its side. */
  boolean isLingering() {
    return state == State.LINGERING;
  }

  /** Makes the next response the last one, after which the connection is closed. */
  void beginLastResponse() {
    state = State.WRITING_LAST_RESPONSE;
  }

  /** Ends the lingering close early, since the descriptor is needed for another connection. */
  void closeLingering() {
    lingeringClose.closeNow();
  }

  /** Counts bytes that arrived during the lingering close; the caller releases them. */
  void countDiscarded(ByteBuf bytes) {
    lingeringClose.countDiscarded(bytes);
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
   */
  void write(HttpResponseStatus status, ByteBuf body, double retryAfterMillis) {
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    int bodyBytes = body.readableBytes();
    response.headers().set("Content-Length", bodyBytes);
    if (retryAfterMillis > 0) {
      response
          .headers()
          .set("Retry-After", ProtocolHeaders.formatSeconds(Math.ceil(retryAfterMillis)));
    }
    if (!isOpen()) {
      response.headers().set("Connection", "close");
    }
    pendingWrites++;
    bodyBudget.reserve(bodyBytes);
    channel.writeAndFlush(response).addListener(written -> onWritten(bodyBytes));
  }

  private void onWritten(int bodyBytes) {
    bodyBudget.release(bodyBytes);
    pendingWrites--;
    if (pendingWrites == 0 && !isOpen()) {
      state = State.LINGERING;
      lingeringClose.begin();
    }
  }
}
