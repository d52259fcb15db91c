package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/** Puts a request together from its head and the parts of its body. */
final class RequestAssembler {

  private final Channel channel;

  /** The request that is arriving, and its body so far; null between two requests. */
  private HttpRequest head;

  private ByteBuf body;

  RequestAssembler(Channel channel) {
    this.channel = channel;
  }

  /** Begins a request after validating its head. */
  void begin(HttpRequest newHead) throws BadRequestException {
    RequestHeadValidator.validate(newHead);
    head = newHead;
    body = Unpooled.EMPTY_BUFFER;
  }

  /**
   * Appends a part of the body, whose reference stays with the caller.
   *
   * @return the request, once it is complete; its reference goes to the caller
   */
  Optional<FullHttpRequest> append(HttpContent content) throws BadRequestException {
    if (head == null) {
      return Optional.empty();
    }
    if (!content.decoderResult().isSuccess()) {
      throw new BadRequestException("malformed HTTP");
    }
    appendToBody(content.content());
    return content instanceof LastHttpContent ? Optional.of(complete()) : Optional.empty();
  }

  private void appendToBody(ByteBuf part) throws BadRequestException {
    if (body.readableBytes() + part.readableBytes() > ProtocolHeaders.MAX_BODY_BYTES) {
      throw RequestHeadValidator.bodyTooLarge();
    }
    if (part.isReadable()) {
      if (body.maxCapacity() == 0) {
        body = channel.alloc().buffer(part.readableBytes(), ProtocolHeaders.MAX_BODY_BYTES);
      }
      body.writeBytes(part);
    }
  }

  private FullHttpRequest complete() {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            head.protocolVersion(),
            head.method(),
            head.uri(),
            body,
            head.headers(),
            EmptyHttpHeaders.INSTANCE);
    head = null;
    body = null;
    return request;
  }

  /** Drops the request that has arrived in part, if any. */
  void reset() {
    if (body != null) {
      body.release();
    }
    body = null;
    head = null;
  }
}
