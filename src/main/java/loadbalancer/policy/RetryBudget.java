package loadbalancer.policy;

/**
 * A token bucket for attempts beyond the first of a request: bounds the load that retries and
 * hedges add when everything is slow.
 */
final class RetryBudget {

  private static final double TOKENS_PER_REQUEST = 0.1;

  /** Also those granted at start. */
  private static final double MAX_TOKENS = 3;

  private double tokens = MAX_TOKENS;

  void requestArrived() {
    add(TOKENS_PER_REQUEST);
  }

  /** A retry or hedge was served: the fault is in single endpoints, so another may follow. */
  void furtherAttemptServed() {
    add(1);
  }

  boolean hasToken() {
    return tokens >= 1;
  }

  void spend() {
    tokens -= 1;
  }

  private void add(double earned) {
    tokens = Math.min(MAX_TOKENS, tokens + earned);
  }
}
