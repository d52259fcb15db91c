package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.memory.HeadMemory;
import loadbalancer.proxy.protocol.ChunkSizeValidator;

/**
 * Decodes requests and keeps track of whether one has been received in part. After a protocol
 * violation it continues to read but discards the input, since only a read shows that the client
 * has disconnected.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {

  /** More than the kernel buffers for a connection. */
  private static final int MAX_UNREAD_BYTES = 16 * 1024 * 1024;

  /** After discarding this much, reading pauses, so that one client can't occupy the event loop. */
  private static final int DISCARDED_BYTES_BEFORE_PAUSE = 4 * 1024 * 1024;

  private static final long DISCARD_PAUSE_MILLIS = 40;

  private final Runnable onFirstByte;
  private final HeadMemory headMemory;
  private final ArrivalTimeEstimate arrivalTime;
  private final ChunkSizeValidator chunkSizeValidator = new ChunkSizeValidator();

  private boolean partialRequest;
  private boolean decoding;
  private boolean discarding;

  /** Bytes of input discarded since reading last paused for {@link #DISCARD_PAUSE_MILLIS}. */
  private int discardedBytes;

  /** The total number of bytes received on the connection. */
  private long receivedBytes;

  /**
   * Creates a decoder.
   *
   * @param onFirstByte called when the first byte of a request has been received
   * @param headMemory counts the memory of the head that is being received
   * @param arrivalTime estimates when the bytes that are decoded arrived
   */
  ClientRequestDecoder(
      Runnable onFirstByte, HeadMemory headMemory, ArrivalTimeEstimate arrivalTime) {
    this.onFirstByte = onFirstByte;
    this.headMemory = headMemory;
    this.arrivalTime = arrivalTime;
  }

  /** Whether bytes have been received since the last complete request. */
  boolean hasPartialRequest() {
    return partialRequest;
  }

  /** Whether what has been received is being decoded, which may complete a request. */
  boolean isDecoding() {
    return decoding;
  }

  /**
   * Reads all that the kernel holds for the channel, but from a client that keeps sending not much
   * more than {@link #MAX_UNREAD_BYTES}.
   */
  void readAll(Channel channel) {
    long receivedAtStart = receivedBytes;
    long receivedBeforeRead = -1;
    while (channel.isOpen()
        && receivedBytes > receivedBeforeRead
        && receivedBytes - receivedAtStart < MAX_UNREAD_BYTES) {
      receivedBeforeRead = receivedBytes;
      DescriptorBudget.readNow(channel);
    }
  }

  /**
   * From now on, input is discarded without being decoded. What has been decoded of an incomplete
   * request is dropped at once, since the connection may stay open for some time.
   */
  void discardInput() {
    if (!discarding) {
      discarding = true;
      reset();
      resetNow();
    }
  }

  /** Makes Netty's decoder carry out the reset, which it does when it is called the next time. */
  private void resetNow() {
    try {
      super.decode(null, Unpooled.EMPTY_BUFFER, new ArrayList<>());
    } catch (Exception e) {
      throw new IllegalStateException("the decoder failed without input", e);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    ByteBuf received = (ByteBuf) message;
    // A read that does not fill its buffer leaves nothing in the kernel.
    arrivalTime.onRead(received.isWritable());
    int bytes = received.readableBytes();
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
    decoding = true;
    try {
      super.channelRead(ctx, message);
    } finally {
      decoding = false;
    }
  }

  private void pauseAfterDiscarding(Channel channel, int bytes) {
    discardedBytes += bytes;
    if (discardedBytes > DISCARDED_BYTES_BEFORE_PAUSE) {
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
    if (discarding) {
      in.skipBytes(in.readableBytes());
      return;
    }
    int start = in.readerIndex();
    super.decode(ctx, in, out);
    chunkSizeValidator.validate(in, start, out);
    headMemory.countDecoded(in.readerIndex() - start, out);
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      partialRequest = in.isReadable();
    }
  }

  /** Called for each header field of a head or a trailer, before it is stored. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    headMemory.reserveField();
    return super.splitHeaderName(line, start, length);
  }

  /** Rejects the request; by default Netty ignores its Content-Length and accepts it. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "request has both Content-Length and Transfer-Encoding: chunked");
  }
}
