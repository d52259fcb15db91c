package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request whose memory is counted until its last reference is released. Duplicates of
 * its body have references of their own, which do not count.
 */
final class CountedRequest extends DefaultFullHttpRequest {

  private final Runnable onLastRelease;
  private int references = 1;

  /**
   * Creates a request with one reference.
   *
   * @param body the callee takes ownership of one reference to it
   * @param onLastRelease called when the last reference to this request is released
   */
  CountedRequest(HttpRequest head, ByteBuf body, Runnable onLastRelease) {
    super(
        head.protocolVersion(),
        head.method(),
        head.uri(),
        body,
        head.headers(),
        EmptyHttpHeaders.INSTANCE);
    this.onLastRelease = onLastRelease;
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
      onLastRelease.run();
    }
    return super.release(decrement);
  }
}
