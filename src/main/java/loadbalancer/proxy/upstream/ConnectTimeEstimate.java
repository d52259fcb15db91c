package loadbalancer.proxy.upstream;

/**
 * The usual time in which connections come up, a median, and how long to wait before a late one is
 * dialled once more: one lost or late handshake would else cost the whole connect time-out. Not
 * thread-safe.
 */
final class ConnectTimeEstimate {

  /**
   * A connection is dialled once more after so many times the usual time, within these bounds in
   * ms, the upper one a part of the connect time-out.
   */
  private static final double RETRY_FACTOR = 4;

  private static final double LEAST_RETRY_MS = 10;
  private static final double MOST_RETRY_SHARE = 0.25;

  /** Step of the estimate, relative to its value. */
  private static final double STEP = 0.1;

  private final double longest;
  private double median;

  /** {@code timeout} in ms is that of a connection; the estimate begins at its longest. */
  ConnectTimeEstimate(double timeout) {
    longest = timeout * MOST_RETRY_SHARE;
    median = longest / RETRY_FACTOR;
  }

  /** A connection came up in so many ms. */
  void observe(double millis) {
    median *= 1 + (millis > median ? STEP : -STEP);
  }

  /** Replaces the estimate, in ms; for tests. */
  void set(double millis) {
    median = millis;
  }

  /** Ms to wait for a connection before it is dialled once more. */
  double retryAfter() {
    return Math.min(longest, Math.max(LEAST_RETRY_MS, RETRY_FACTOR * median));
  }
}
