package loadbalancer.proxy.frontend;

/** Limits the memory that the pipelined requests of all client connections hold together. */
final class PipelineBudget {

  private static final int MAX_PIPELINED_BYTES = 8 * 1024 * 1024;

  private int pipelinedBytes;

  void reserve(int bytes) {
    pipelinedBytes += bytes;
  }

  void release(int bytes) {
    pipelinedBytes -= bytes;
  }

  boolean isExceeded() {
    return pipelinedBytes > MAX_PIPELINED_BYTES;
  }
}
