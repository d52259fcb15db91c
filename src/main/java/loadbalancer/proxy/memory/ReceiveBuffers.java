package loadbalancer.proxy.memory;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** The sizes of the buffers into which the sockets of clients and endpoints are read. */
public final class ReceiveBuffers {

  private static final int MIN_BYTES = 64;
  private static final int INITIAL_BYTES = 2_048;

  /**
   * A line that has arrived in part keeps its buffer: one for each connection in the worst case.
   */
  private static final int MAX_BYTES = 8_192;

  private ReceiveBuffers() {}

  /** Creates the option for one channel or for several. */
  public static RecvByteBufAllocator newAllocator() {
    return new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, MAX_BYTES);
  }
}
