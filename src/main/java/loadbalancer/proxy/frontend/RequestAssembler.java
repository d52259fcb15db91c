package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import loadbalancer.proxy.memory.HeadMemory;
import loadbalancer.proxy.memory.MemoryBudgets;
import loadbalancer.proxy.memory.MemoryReservation;
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

  /** The memory of its body. */
  private final MemoryReservation bodyMemory;

  /** The head of the request that is arriving; null between two requests. */
  private HttpRequest head;

  /** The part of its body that has been received; null between two requests. */
  private ByteBuf body;

  /**
   * Creates the assembler of one connection.
   *
   * @param onEvict called when the memory of an incomplete request is needed for others; has to
   *     call {@link #reset}
   */
  RequestAssembler(Channel channel, MemoryBudgets budgets, Runnable onEvict) {
    this.channel = channel;
    this.budgets = budgets;
    headMemory = new HeadMemory(budgets.heads(), onEvict);
    bodyMemory = new MemoryReservation(budgets.bodies(), onEvict);
  }

  HeadMemory headMemory() {
    return headMemory;
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
   * @throws BadRequestException if the chunk is malformed, the body exceeds its limit, or no memory
   *     is left for it
   */
  Optional<CountedRequest> append(HttpContent content) throws BadRequestException {
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
    int newLength = body.readableBytes() + chunk.readableBytes();
    if (newLength > ProtocolHeaders.MAX_BODY_BYTES) {
      throw RequestHeadValidator.bodyTooLarge();
    }
    if (newLength > body.capacity()) {
      growBody(newLength);
    }
    body.writeBytes(chunk);
  }

  private void growBody(int minCapacity) throws BadRequestException {
    boolean firstChunk = body.capacity() == 0;
    int newCapacity =
        firstChunk
            ? minCapacity
            : channel.alloc().calculateNewCapacity(minCapacity, ProtocolHeaders.MAX_BODY_BYTES);
    if (!bodyMemory.tryReserve(newCapacity - body.capacity())) {
      throw RequestHeadValidator.noMemoryLeft();
    }
    if (firstChunk) {
      body = channel.alloc().buffer(newCapacity, ProtocolHeaders.MAX_BODY_BYTES);
    } else {
      body.capacity(newCapacity);
    }
  }

  private CountedRequest complete() {
    HttpHeaders headers = UsedHeaders.of(head.headers());
    long headBytes = headMemory.detach(headers.size());
    long bodyBytes = bodyMemory.detach();
    CountedRequest request = new CountedRequest(head, headers, body, budgets, headBytes, bodyBytes);
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
    bodyMemory.release();
  }
}
