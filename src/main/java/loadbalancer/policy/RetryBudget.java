package loadbalancer.policy;

/**
 * A token bucket for retries and hedged requests: it bounds the load that they add when all
 * endpoints are slow or fail.
 */
final class RetryBudget {

  private static final double TOKENS_PER_REQUEST = 0.1;

  /** Capacity of the bucket, which is full at start. */
  private static final double MAX_TOKENS = 3;

  private double tokens = MAX_TOKENS;

  void requestArrived() {
    addTokens(TOKENS_PER_REQUEST);
  }

  /**
   * Adds a token for a retry or hedged request that was served: it shows that only some of the
   * endpoints fail, so that another one may follow.
   */
  void retryOrHedgeServed() {
    addTokens(1);
  }

  boolean hasToken() {
    return tokens >= 1;
  }

  void spend() {
    tokens -= 1;
  }

  private void addTokens(double earnedTokens) {
    tokens = Math.min(MAX_TOKENS, tokens + earnedTokens);
  }
}
