package loadbalancer.proxy.upstream;

/**
 * How long a pooled connection may have been idle and still carry a request. Guards against
 * endpoints and middleboxes that drop idle connections without a sign: a request written to such a
 * connection is reset, and may have run. Connections are reset under requests for other causes too,
 * and new ones cost endpoints work, so the limit shrinks only when many resets on reuse occur.
 * Confined to the event loop.
 */
final class IdleConnectionTrust {

  /** Up to this idle time a connection is fresh and always trusted. */
  static final double FRESH_IDLE_MILLIS = 50;

  /** A reset later than this after the write is due to the request, not to the idle time. */
  static final double IMMEDIATE_RESET_MILLIS = 50;

  /** Growth of the idle limit per second. */
  private static final double LIMIT_GROWTH_PER_SECOND = 1.25;

  /** Weight of one reuse in the share of reuses that were reset. */
  private static final double RESET_SHARE_GAIN = 0.1;

  /** What a second leaves of that share. */
  private static final double RESET_SHARE_DECAY_PER_SECOND = 0.9;

  /** Above this share of resets the idle time is the cause, and the limit shrinks. */
  private static final double SHRINK_RESET_SHARE = 0.25;

  /** Above this share of resets, requests that must not be retried use fresh connections only. */
  private static final double CAUTION_RESET_SHARE = 0.01;

  /** The limit shrinks to this share of the idle time after which a connection was reset. */
  private static final double RESET_IDLE_SHARE = 0.5;

  private final double maxIdleMillis;
  private final double freshIdleMillis;

  /** Up to this idle time a connection may be reused. */
  private double trustedIdleMillis;

  /**
   * Decaying measure, 0 to 1, of resets on reuse. All resets raise it; only successes after more
   * than the fresh idle time lower it.
   */
  private double resetShare;

  /**
   * Begins by trusting every idle time up to the maximum.
   *
   * @param maxIdleMillis the largest idle time that is ever trusted
   * @param freshIdleMillis the idle time that is always trusted
   */
  IdleConnectionTrust(double maxIdleMillis, double freshIdleMillis) {
    this.maxIdleMillis = maxIdleMillis;
    this.freshIdleMillis = freshIdleMillis;
    trustedIdleMillis = maxIdleMillis;
  }

  /**
   * Whether a connection with this idle time may carry a request. While resets on reuse occur, a
   * request that must not be retried gets a fresh connection only.
   */
  boolean trusts(double idleMillis, boolean retryable) {
    double limitMillis =
        retryable || resetShare < CAUTION_RESET_SHARE
            ? trustedIdleMillis
            : Math.min(freshIdleMillis, trustedIdleMillis);
    return idleMillis <= limitMillis;
  }

  /** A connection was reset immediately after a request was written to it after this idle time. */
  void recordReset(double idleMillis) {
    resetShare += RESET_SHARE_GAIN * (1 - resetShare);
    if (resetShare > SHRINK_RESET_SHARE) {
      trustedIdleMillis =
          Math.max(freshIdleMillis, Math.min(trustedIdleMillis, RESET_IDLE_SHARE * idleMillis));
    }
  }

  /** A connection that was reused after this idle time delivered a response. */
  void recordSuccess(double idleMillis) {
    if (idleMillis > freshIdleMillis) {
      resetShare -= RESET_SHARE_GAIN * resetShare;
    }
  }

  /** To be called once a second: the trust recovers, and past resets count less. */
  void recover() {
    trustedIdleMillis = Math.min(maxIdleMillis, trustedIdleMillis * LIMIT_GROWTH_PER_SECOND);
    resetShare *= RESET_SHARE_DECAY_PER_SECOND;
  }
}
