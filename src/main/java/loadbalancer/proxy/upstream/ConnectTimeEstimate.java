package loadbalancer.proxy.upstream;

import java.util.OptionalDouble;

/**
 * The median time in which connections are established, and the delay after which a late connect is
 * retried: one lost or late handshake would otherwise cost the full connect timeout. Confined to
 * the event loop.
 */
final class ConnectTimeEstimate {

  /** The retry delay as a multiple of the median, before its bounds apply. */
  private static final double RETRY_DELAY_PER_MEDIAN = 4;

  private static final double MIN_RETRY_DELAY_MILLIS = 10;

  /** The largest retry delay as a share of the connect timeout. */
  private static final double MAX_RETRY_DELAY_SHARE = 0.25;

  /** Relative step by which one observation moves the median. */
  private static final double MEDIAN_STEP = 0.1;

  private final double maxRetryDelayMillis;
  private double medianMillis;

  /**
   * Starts with the given median.
   *
   * @param timeoutMillis the connect timeout
   * @param initialMedianMillis the first estimate; if empty, the one with the largest retry delay
   */
  ConnectTimeEstimate(double timeoutMillis, OptionalDouble initialMedianMillis) {
    maxRetryDelayMillis = timeoutMillis * MAX_RETRY_DELAY_SHARE;
    medianMillis = initialMedianMillis.orElse(maxRetryDelayMillis / RETRY_DELAY_PER_MEDIAN);
  }

  /** Takes in how many milliseconds a connection took to be established. */
  void observe(double connectMillis) {
    medianMillis *= 1 + (connectMillis > medianMillis ? MEDIAN_STEP : -MEDIAN_STEP);
  }

  /** Milliseconds to wait for a connection before the connect is retried. */
  double retryDelayMillis() {
    return Math.min(
        maxRetryDelayMillis,
        Math.max(MIN_RETRY_DELAY_MILLIS, RETRY_DELAY_PER_MEDIAN * medianMillis));
  }
}
