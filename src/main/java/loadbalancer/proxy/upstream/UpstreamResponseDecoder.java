package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import loadbalancer.proxy.memory.HeadMemory;
import loadbalancer.proxy.protocol.ChunkSizeValidator;

/**
 * An HTTP response decoder that checks the received bytes before Netty's decoder gets them. Netty's
 * decoder buffers an incomplete line without reporting it, so bytes that arrive while no response
 * is awaited would become the start of the next response. Used on the event loop thread only.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {

  /** The connection on which the bytes arrive. */
  interface Connection {

    /** Whether the connection carries a request whose response is not complete. */
    boolean awaitsResponse();

    /** Called when bytes that may be part of a response have arrived. */
    void responseBytesReceived();

    /** Called when the bytes are not a valid response; ends the use of the connection. */
    void protocolViolation();
  }

  /** The start of every HTTP/1.x response. */
  private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private final Connection connection;
  private final HeadMemory headMemory;
  private final ChunkSizeValidator chunkSizeValidator = new ChunkSizeValidator();

  /** How many bytes of the version prefix the current response has matched so far. */
  private int matchedPrefixBytes;

  UpstreamResponseDecoder(Connection connection, HeadMemory headMemory) {
    this.connection = connection;
    this.headMemory = headMemory;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (!connection.awaitsResponse() || !matchesVersionPrefix((ByteBuf) message)) {
      ReferenceCountUtil.release(message);
      connection.protocolViolation();
      return;
    }
    connection.responseBytesReceived();
    super.channelRead(ctx, message);
  }

  /**
   * Whether the bytes continue the version prefix, or it is already complete. Without this check,
   * Netty's decoder would buffer any bytes until the end of a line arrives.
   */
  private boolean matchesVersionPrefix(ByteBuf bytes) {
    int index = bytes.readerIndex();
    while (matchedPrefixBytes < VERSION_PREFIX.length && index < bytes.writerIndex()) {
      if (bytes.getByte(index++) != VERSION_PREFIX[matchedPrefixBytes++]) {
        return false;
      }
    }
    return true;
  }

  /** Makes the decoder check the next bytes as the start of a response. */
  void expectResponseStart() {
    matchedPrefixBytes = 0;
  }

  /** Makes the decoder take the next bytes as the rest of a response that is partly buffered. */
  void expectResponseContinuation() {
    matchedPrefixBytes = VERSION_PREFIX.length;
  }

  /** Whether bytes after the last complete message are buffered. */
  boolean hasBufferedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    int start = in.readerIndex();
    super.decode(ctx, in, out);
    chunkSizeValidator.validate(in, start, out);
    headMemory.countDecoded(in.readerIndex() - start, out);
  }

  /** Rejects a header line without a colon, which Netty would accept as a name without a value. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    headMemory.reserveField();
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("response header line has no colon after the header name");
    }
    return super.splitHeaderName(line, start, length);
  }

  /**
   * Rejects a response with both {@code Transfer-Encoding: chunked} and {@code Content-Length}, for
   * which Netty would ignore the length.
   */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "response has both Transfer-Encoding: chunked and Content-Length");
  }
}
