package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decodes requests and knows whether one has arrived in part. After a protocol violation it reads
 * on without decoding, since only reading tells that the client has disconnected.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {

  /** Bytes that are discarded between two pauses, so that one client can't occupy the loop. */
  private static final int MAX_DISCARDED_BYTES = 4 * 1024 * 1024;

  private static final long DISCARD_PAUSE_MILLIS = 40;

  private final Runnable onFirstByte;
  private boolean partialRequest;
  private boolean discarding;
  private int discardedBytes;
  private long receivedBytes;

  /**
   * Creates a decoder.
   *
   * @param onFirstByte called when the first byte of a request has arrived
   */
  ClientRequestDecoder(Runnable onFirstByte) {
    this.onFirstByte = onFirstByte;
  }

  /** Whether bytes have arrived since the last complete request. */
  boolean hasPartialRequest() {
    return partialRequest;
  }

  /** All bytes that the connection has received. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Decodes nothing from now on. */
  void discardInput() {
    discarding = true;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    int bytes = ((ByteBuf) message).readableBytes();
    receivedBytes += bytes;
    if (discarding) {
      ReferenceCountUtil.release(message);
      pauseAfterDiscarding(ctx.channel(), bytes);
      return;
    }
    if (!partialRequest) {
      partialRequest = true;
      onFirstByte.run();
    }
    super.channelRead(ctx, message);
  }

  private void pauseAfterDiscarding(Channel channel, int bytes) {
    discardedBytes += bytes;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      discardedBytes = 0;
      channel.config().setAutoRead(false);
      channel
          .eventLoop()
          .schedule(
              () -> channel.config().setAutoRead(true),
              DISCARD_PAUSE_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    super.decode(ctx, in, out);
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      partialRequest = in.isReadable();
    }
  }

  /** Netty would drop the length of a message with both framings, and go on. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both framings");
  }
}
