package loadbalancer.proxy.upstream;

/**
 * Limits how long a pooled connection may have been idle and still be reused. Endpoints and
 * middleboxes may drop an idle connection without closing it; a request written to such a
 * connection is reset, and whether it was executed is unknown. Requests are also reset for other
 * reasons, and every new connection costs the endpoint work, so the limit shrinks only while resets
 * on reused connections are frequent. Used on the event loop thread only.
 */
final class IdleReuseLimit {

  /** A connection that has been idle for at most this long is fresh and may always be reused. */
  static final double FRESH_IDLE_MILLIS = 50;

  /** A reset that comes later than this after the write has another cause than the idle time. */
  static final double IMMEDIATE_RESET_MILLIS = 50;

  /** The factor by which the limit grows back each second. */
  private static final double LIMIT_GROWTH_PER_SECOND = 1.25;

  /** The weight of one reuse in the moving average of resets. */
  private static final double RESET_RATE_WEIGHT = 0.1;

  /** The factor by which the reset rate decays each second. */
  private static final double RESET_RATE_DECAY_PER_SECOND = 0.9;

  /** Above this reset rate, resets are attributed to the idle time and shrink the limit. */
  private static final double SHRINK_RESET_RATE = 0.25;

  /** Above this reset rate, requests that must not be retried use fresh connections only. */
  private static final double FRESH_ONLY_RESET_RATE = 0.01;

  /** The limit shrinks to this fraction of the idle time of a connection that was reset. */
  private static final double LIMIT_RESET_IDLE_FRACTION = 0.5;

  private final double maxIdleMillis;
  private final double freshIdleMillis;

  /** The longest idle time after which a connection may be reused at present. */
  private double reusableIdleMillis;

  /**
   * The moving average, from 0 to 1, of the fraction of reuses that ended in a reset. It decays
   * over time. Every reset raises it; only successes on connections that were not fresh lower it,
   * since those on fresh ones say nothing about the effect of the idle time.
   */
  private double resetRate;

  /**
   * Creates a limit that starts at its maximum.
   *
   * @param maxIdleMillis the longest idle time after which a connection is ever reused
   * @param freshIdleMillis the idle time up to which a connection may always be reused
   */
  IdleReuseLimit(double maxIdleMillis, double freshIdleMillis) {
    this.maxIdleMillis = maxIdleMillis;
    this.freshIdleMillis = freshIdleMillis;
    reusableIdleMillis = maxIdleMillis;
  }

  /**
   * Whether a connection that has been idle for this long may carry a request. While reused
   * connections are being reset, a request that must not be retried gets a fresh connection only.
   */
  boolean allowsReuse(double idleMillis, boolean retryable) {
    double limitMillis =
        retryable || resetRate < FRESH_ONLY_RESET_RATE
            ? reusableIdleMillis
            : Math.min(freshIdleMillis, reusableIdleMillis);
    return idleMillis <= limitMillis;
  }

  /**
   * Records that a connection was reset immediately after a request was written to it.
   *
   * @param idleMillis how long the connection had been idle before the request
   */
  void recordReset(double idleMillis) {
    resetRate += RESET_RATE_WEIGHT * (1 - resetRate);
    if (resetRate > SHRINK_RESET_RATE) {
      reusableIdleMillis =
          Math.max(
              freshIdleMillis,
              Math.min(reusableIdleMillis, LIMIT_RESET_IDLE_FRACTION * idleMillis));
    }
  }

  /**
   * Records that a reused connection delivered a response.
   *
   * @param idleMillis how long the connection had been idle before the request
   */
  void recordSuccess(double idleMillis) {
    if (idleMillis > freshIdleMillis) {
      resetRate -= RESET_RATE_WEIGHT * resetRate;
    }
  }

  /** Raises the limit and lets the reset rate decay. To be called once a second. */
  void recover() {
    reusableIdleMillis = Math.min(maxIdleMillis, reusableIdleMillis * LIMIT_GROWTH_PER_SECOND);
    resetRate *= RESET_RATE_DECAY_PER_SECOND;
  }
}
