package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import loadbalancer.proxy.memory.MemoryBudgets;

/**
 * A complete request whose memory remains reserved until its last reference is released. Duplicates
 * of its body have references of their own, which do not count.
 */
final class CountedRequest extends DefaultFullHttpRequest {

  private final MemoryBudgets budgets;
  private final long headBytes;
  private final long bodyBytes;
  private int references = 1;

  /**
   * Creates a request with one reference.
   *
   * @param headers the header fields of the request that are kept
   * @param body the callee takes ownership of one reference to it
   * @param budgets those of which the memory is reserved
   * @param headBytes what is reserved for the head
   * @param bodyBytes what is reserved for the body
   */
  CountedRequest(
      HttpRequest head,
      HttpHeaders headers,
      ByteBuf body,
      MemoryBudgets budgets,
      long headBytes,
      long bodyBytes) {
    super(
        head.protocolVersion(),
        head.method(),
        head.uri(),
        body,
        headers,
        EmptyHttpHeaders.INSTANCE);
    this.budgets = budgets;
    this.headBytes = headBytes;
    this.bodyBytes = bodyBytes;
  }

  /** The memory that is reserved for the head, in bytes. */
  long headBytes() {
    return headBytes;
  }

  /** The memory that is reserved for the body, in bytes. */
  long bodyBytes() {
    return bodyBytes;
  }

  @Override
  public FullHttpRequest retain() {
    return retain(1);
  }

  @Override
  public FullHttpRequest retain(int increment) {
    super.retain(increment);
    references += increment;
    return this;
  }

  @Override
  public boolean release() {
    return release(1);
  }

  @Override
  public boolean release(int decrement) {
    references -= decrement;
    if (references == 0) {
      budgets.heads().release(headBytes);
      budgets.bodies().release(bodyBytes);
    }
    return super.release(decrement);
  }
}
