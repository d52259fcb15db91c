package loadbalancer.proxy.upstream;

import java.util.OptionalDouble;

/**
 * Estimates the median time to connect to an endpoint, and derives the delay after which a pending
 * connect is retried with a second one. Without the retry, a single lost or delayed handshake
 * packet would hold up the attempt until the connect timeout. Used on the event loop thread only.
 */
final class ConnectTimeEstimate {

  /** The retry delay as a multiple of the median connect time, before its bounds apply. */
  private static final double RETRY_DELAY_MEDIAN_MULTIPLE = 4;

  private static final double MIN_RETRY_DELAY_MILLIS = 10;

  /** The largest retry delay as a fraction of the connect timeout. */
  private static final double MAX_RETRY_DELAY_TIMEOUT_FRACTION = 0.25;

  /** The fraction of itself by which each measurement raises or lowers the estimated median. */
  private static final double MEDIAN_STEP_FRACTION = 0.1;

  private final double maxRetryDelayMillis;
  private double medianMillis;

  /**
   * Creates an estimate that no measurement has changed yet.
   *
   * @param connectTimeoutMillis the connect timeout
   * @param initialMedianMillis the initial median; if empty, that for the largest retry delay
   */
  ConnectTimeEstimate(double connectTimeoutMillis, OptionalDouble initialMedianMillis) {
    maxRetryDelayMillis = connectTimeoutMillis * MAX_RETRY_DELAY_TIMEOUT_FRACTION;
    medianMillis = initialMedianMillis.orElse(maxRetryDelayMillis / RETRY_DELAY_MEDIAN_MULTIPLE);
  }

  /** Updates the estimate with the time that one successful connect took. */
  void recordConnectTime(double connectMillis) {
    medianMillis *=
        1 + (connectMillis > medianMillis ? MEDIAN_STEP_FRACTION : -MEDIAN_STEP_FRACTION);
  }

  /** How long a connect may be pending before it is retried, in milliseconds. */
  double retryDelayMillis() {
    return Math.min(
        maxRetryDelayMillis,
        Math.max(MIN_RETRY_DELAY_MILLIS, RETRY_DELAY_MEDIAN_MULTIPLE * medianMillis));
  }
}
