package loadbalancer.policy;

import loadbalancer.model.Idempotency;
import loadbalancer.model.LimitSettings;

/**
 * When an attempt is slow enough for a hedged request, or, where two at once are not allowed, to be
 * abandoned for a retry.
 *
 * <p>Slow is what a small share of the class's attempts exceed: the quantile is tracked as a
 * multiple of the expected latency, so that it fits narrow and long-tailed classes.
 */
final class HedgingPolicy {

  /** Initial slow ratio, before any latency was seen. */
  static final double FIRST_SLOW_RATIO = 3;

  private static final double MIN_SLOW_RATIO = 1.5;
  private static final double MAX_SLOW_RATIO = 10;

  /** Share of attempts that are slow. */
  private static final double SLOW_SHARE = 0.05;

  /** Step of the quantile estimate, relative to its value. */
  private static final double SLOW_RATIO_STEP = 0.05;

  /** An attempt is abandoned after this many times the delay of a hedge. */
  private static final double ABANDON_DELAY_RATIO = 2;

  /** No hedges at this overload level or above: they would add to the load. */
  static final double OVERLOAD_LIMIT = 0.05;

  private final LimitSettings limits;
  private final RetryBudget budget;

  HedgingPolicy(LimitSettings limits, RetryBudget budget) {
    this.limits = limits;
    this.budget = budget;
  }

  /** Time after which an attempt of this request is slow. */
  static double slowAfterMillis(InFlightRequest request) {
    return request.expectedLatencyMillis() * request.statistics().slowRatio();
  }

  /** Moves the quantile estimate of a class for one attempt's latency over the expected one. */
  static void recordLatencyRatio(RequestClassStatistics type, double ratio) {
    double current = type.slowRatio();
    double moved =
        current * (1 + SLOW_RATIO_STEP * (ratio > current ? 1 - SLOW_SHARE : -SLOW_SHARE));
    type.setSlowRatio(Math.min(MAX_SLOW_RATIO, Math.max(MIN_SLOW_RATIO, moved)));
  }

  /** Records an attempt that was slow and brought no response. */
  static void recordUnfinished(RequestClassStatistics type) {
    recordLatencyRatio(type, Double.MAX_VALUE);
  }

  /** Whether an attempt of the request, with so much time left, may be hedged once it is slow. */
  boolean mayHedge(InFlightRequest request, double remainingMillis) {
    return isRepeatable(request)
        && limits.parallelAttempts()
        && slowAfterMillis(request) + request.expectedLatencyMillis() < remainingMillis;
  }

  /** The timeout of an attempt that will not be hedged: shorter where a retry can follow. */
  double timeoutMillis(InFlightRequest request, double remainingMillis) {
    double abandonAfter = ABANDON_DELAY_RATIO * slowAfterMillis(request);
    return isRepeatable(request)
            && budget.hasToken()
            && abandonAfter + request.expectedLatencyMillis() < remainingMillis
        ? abandonAfter
        : remainingMillis;
  }

  /** Whether the request is hedged now that this attempt, its last one, is slow. */
  boolean hedges(InFlightRequest request, int attempt, double now) {
    return !request.isStreaming()
        && request.attempts().size() == attempt + 1
        && request.attempts().get(attempt).isRunning()
        && budget.hasToken()
        && request.statistics().placementGroup().overload().level() < OVERLOAD_LIMIT
        && request.usefulUntilMillis() - now > request.expectedLatencyMillis();
  }

  private static boolean isRepeatable(InFlightRequest request) {
    return request.requestClass().idempotency() != Idempotency.AT_MOST_ONCE
        && !request.requestClass().streamed();
  }
}
