package loadbalancer.policy;

import loadbalancer.model.Idempotency;
import loadbalancer.model.LimitSettings;

/**
 * Decides when an attempt is slow enough to be hedged or, where parallel attempts are not allowed,
 * to be abandoned for a retry.
 *
 * <p>An attempt is slow above the 95th percentile of the latency of its class. The percentile is
 * tracked as a ratio to the expected latency (the slow ratio), so that it fits classes with a
 * narrow latency distribution as well as those with a long tail.
 */
final class HedgingPolicy {

  /** Slow ratio of a class before any of its latencies is known. */
  static final double INITIAL_SLOW_RATIO = 3;

  private static final double MIN_SLOW_RATIO = 1.5;
  private static final double MAX_SLOW_RATIO = 10;

  /** The slow ratio is adjusted so that this share of the attempts exceeds it. */
  private static final double SLOW_SHARE = 0.05;

  /** Step size of the percentile estimate, relative to its value. */
  private static final double SLOW_RATIO_STEP = 0.05;

  /** An attempt is abandoned after this multiple of the time after which it is slow. */
  private static final double ABANDON_DELAY_RATIO = 2;

  /** At this overload level or above nothing is hedged, as that would add to the load. */
  static final double OVERLOAD_LIMIT = 0.05;

  private final LimitSettings limits;
  private final RetryBudget retryBudget;

  HedgingPolicy(LimitSettings limits, RetryBudget retryBudget) {
    this.limits = limits;
    this.retryBudget = retryBudget;
  }

  /** The time since it was sent after which an attempt of this request is slow. */
  static double slowAfterMillis(InFlightRequest request) {
    return request.expectedLatencyMillis() * request.classStatistics().slowRatio();
  }

  /**
   * Updates the percentile estimate of a class.
   *
   * @param latencyRatio latency of an attempt divided by its expected latency
   */
  static void recordLatencyRatio(RequestClassStatistics classStatistics, double latencyRatio) {
    double slowRatio = classStatistics.slowRatio();
    double updatedSlowRatio =
        slowRatio
            * (1 + SLOW_RATIO_STEP * (latencyRatio > slowRatio ? 1 - SLOW_SHARE : -SLOW_SHARE));
    classStatistics.setSlowRatio(
        Math.min(MAX_SLOW_RATIO, Math.max(MIN_SLOW_RATIO, updatedSlowRatio)));
  }

  /** Records a slow attempt that ended without a response. */
  static void recordUnfinished(RequestClassStatistics classStatistics) {
    recordLatencyRatio(classStatistics, Double.MAX_VALUE);
  }

  /** Whether an attempt sent now can be hedged later, when it is slow. */
  boolean isHedgeable(InFlightRequest request, double remainingMillis) {
    return isRepeatable(request)
        && limits.parallelAttempts()
        && slowAfterMillis(request) + request.expectedLatencyMillis() < remainingMillis;
  }

  /**
   * The timeout of an attempt that will not be hedged: the remaining time, or less if that leaves
   * enough time for a retry and the budget allows one.
   */
  double timeoutMillis(InFlightRequest request, double remainingMillis) {
    double abandonAfterMillis = ABANDON_DELAY_RATIO * slowAfterMillis(request);
    return isRepeatable(request)
            && retryBudget.hasToken()
            && abandonAfterMillis + request.expectedLatencyMillis() < remainingMillis
        ? abandonAfterMillis
        : remainingMillis;
  }

  /** Whether to send a hedged request for an attempt that is now slow: only for the latest one. */
  boolean shouldHedge(InFlightRequest request, int attemptNumber, double now) {
    return !request.isStreaming()
        && request.attempts().size() == attemptNumber + 1
        && request.attempts().get(attemptNumber).isRunning()
        && retryBudget.hasToken()
        && request.classStatistics().placementGroup().overload().level() < OVERLOAD_LIMIT
        && request.usefulUntilMillis() - now > request.expectedLatencyMillis();
  }

  /** Whether the class of the request allows hedging or abandoning a slow attempt. */
  private static boolean isRepeatable(InFlightRequest request) {
    return request.requestClass().idempotency() != Idempotency.AT_MOST_ONCE
        && !request.requestClass().streamed();
  }
}
