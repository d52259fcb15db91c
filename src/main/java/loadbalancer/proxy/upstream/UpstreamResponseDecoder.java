package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;

/**
 * An HTTP response decoder that checks the bytes ahead of Netty's, which buffers an incomplete line
 * unseen: bytes that no request awaits could be taken for the start of the next response. Confined
 * to the event loop.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {

  /** The connection that the bytes arrive on. */
  interface Connection {

    /** Whether a request awaits a response. */
    boolean awaitsResponse();

    /** Bytes that may be part of a response have arrived. */
    void responseBytesReceived();

    /** The bytes are not a valid response; the connection must not be used again. */
    void protocolViolation();
  }

  /** How each response begins. */
  private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private final Connection connection;

  /** How many bytes of the version prefix have arrived. */
  private int matchedBytes;

  UpstreamResponseDecoder(Connection connection) {
    this.connection = connection;
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

  /** Guards against noise without a line end, for which the decoder would wait on. */
  private boolean matchesVersionPrefix(ByteBuf bytes) {
    int index = bytes.readerIndex();
    while (matchedBytes < VERSION_PREFIX.length && index < bytes.writerIndex()) {
      if (bytes.getByte(index++) != VERSION_PREFIX[matchedBytes++]) {
        return false;
      }
    }
    return true;
  }

  /** The next bytes are the first of a response. */
  void expectResponseStart() {
    matchedBytes = 0;
  }

  /** The start of the next response is already buffered and is not checked again. */
  void expectResponseContinuation() {
    matchedBytes = VERSION_PREFIX.length;
  }

  /** Whether bytes are buffered that belong to no complete message. */
  boolean hasBufferedBytes() {
    return actualReadableBytes() > 0;
  }

  /** Guards against a header line without a colon, which Netty takes for a name with no value. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("a response header line has no colon");
    }
    return super.splitHeaderName(line, start, length);
  }

  /** Guards against a message with both framings, of which Netty would drop the length. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "a response has both Transfer-Encoding: chunked and Content-Length");
  }
}
