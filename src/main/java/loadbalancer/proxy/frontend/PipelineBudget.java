package loadbalancer.proxy.frontend;

/**
 * Limits the memory that the pipelined requests of all client connections hold together, so that
 * they leave room in the memory budgets for requests that do not wait behind others.
 */
final class PipelineBudget {

  private static final long MAX_BODY_BYTES = 8 * 1024 * 1024;

  /** The share of the budget of heads that pipelined requests may hold. */
  private static final double MAX_HEADS_SHARE = 0.625;

  private final long maxHeadBytes;
  private long headBytes;
  private long bodyBytes;

  /**
   * Creates a budget of which nothing is held.
   *
   * @param headsLimitBytes the limit of the budget of heads
   */
  PipelineBudget(long headsLimitBytes) {
    maxHeadBytes = (long) (MAX_HEADS_SHARE * headsLimitBytes);
  }

  void add(CountedRequest request) {
    headBytes += request.headBytes();
    bodyBytes += request.bodyBytes();
  }

  void remove(CountedRequest request) {
    headBytes -= request.headBytes();
    bodyBytes -= request.bodyBytes();
  }

  boolean isExceeded() {
    return headBytes > maxHeadBytes || bodyBytes > MAX_BODY_BYTES;
  }
}
