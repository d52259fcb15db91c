package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import loadbalancer.proxy.memory.HeadMemory;
import loadbalancer.proxy.memory.MemoryBudgets;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * Assembles a complete request from its head and the chunks of its body. The memory of a complete
 * request remains reserved until the request is released.
 */
final class RequestAssembler {

  private final Channel channel;
  private final MemoryBudgets budgets;

  /** The memory of the head of the request that is arriving. */
  private final HeadMemory headMemory;

  /** The head of the request that is arriving; null between two requests. */
  private HttpRequest head;

  /** The part of its body that has been received; null between two requests. */
  private ByteBuf body;

  RequestAssembler(Channel channel, MemoryBudgets budgets, HeadMemory headMemory) {
    this.channel = channel;
    this.budgets = budgets;
    this.headMemory = headMemory;
  }

  /** Validates the head of a request and begins to assemble the request. */
  void begin(HttpRequest newHead) throws BadRequestException {
    RequestHeadValidator.validate(newHead);
    head = newHead;
    body = Unpooled.EMPTY_BUFFER;
  }

  /**
   * Appends a chunk of the body; the caller remains the one to release the chunk.
   *
   * @return the request if it is complete now; the caller has to release it
   * @throws BadRequestException if the chunk is malformed or the body exceeds its limit
   */
  Optional<FullHttpRequest> append(HttpContent content) throws BadRequestException {
    if (head == null) {
      return Optional.empty();
    }
    if (!content.decoderResult().isSuccess()) {
      throw RequestHeadValidator.malformed(content.decoderResult().cause());
    }
    appendToBody(content.content());
    return content instanceof LastHttpContent ? Optional.of(complete()) : Optional.empty();
  }

  private void appendToBody(ByteBuf chunk) throws BadRequestException {
    if (body.readableBytes() + chunk.readableBytes() > ProtocolHeaders.MAX_BODY_BYTES) {
      throw RequestHeadValidator.bodyTooLarge();
    }
    if (chunk.isReadable()) {
      if (body.maxCapacity() == 0) {
        body = channel.alloc().buffer(chunk.readableBytes(), ProtocolHeaders.MAX_BODY_BYTES);
      }
      body.writeBytes(chunk);
    }
  }

  private FullHttpRequest complete() {
    long headBytes = headMemory.detach();
    FullHttpRequest request =
        new CountedRequest(head, body, () -> budgets.heads().release(headBytes));
    head = null;
    body = null;
    return request;
  }

  /** Discards the request that has been received in part, if any. */
  void reset() {
    if (body != null) {
      body.release();
    }
    body = null;
    head = null;
    headMemory.release();
  }
}
