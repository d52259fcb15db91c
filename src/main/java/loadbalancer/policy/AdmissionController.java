package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.LimitSettings;

/**
 * Load shedding: whether an arriving request is rejected before any work is spent on it.
 *
 * <p>Only the tier that clients reach sheds load: further down, a rejection would waste the work
 * already done above.
 */
final class AdmissionController {

  /** The tier that clients reach. */
  static final int CLIENT_TIER = 0;

  /** Longest advised wait as a share of the latency objective: the client should still be there. */
  private static final double MAX_RETRY_AFTER_OBJECTIVE_SHARE = 0.5;

  private final int tier;
  private final LimitSettings limits;
  private final RequestClassStatistics[] classes;
  private final SheddingPlan plan;
  private final SplittableRandom random;

  AdmissionController(
      int tier,
      LimitSettings limits,
      RequestClassStatistics[] classes,
      SheddingPlan plan,
      SplittableRandom random) {
    this.tier = tier;
    this.limits = limits;
    this.classes = classes;
    this.plan = plan;
    this.random = random;
  }

  /** Counts an arriving request and decides whether it is rejected at once. */
  boolean rejects(InFlightRequest request) {
    RequestClassStatistics type = request.statistics();
    for (RequestClassStatistics each : classes) {
      each.updateTrafficShare(each == type);
    }
    if (type.placementGroup().overload().level() == 0) {
      return false;
    }
    plan.update(type.placementGroup());
    return random.nextDouble() < rejectionProbability(request);
  }

  /**
   * The probability that makes up the rejected share over all requests of the class. Marked retries
   * go first: their client has already waited, and a first try that is served brings no retry.
   */
  private static double rejectionProbability(InFlightRequest request) {
    RequestClassStatistics type = request.statistics();
    double retryShare = type.clientRetryShare();
    double retryProbability =
        Math.min(1, type.rejectedShare() / Math.max(RequestClassValue.MIN_SHARE, retryShare));
    if (request.clientRequest().retry()) {
      return retryProbability;
    }
    return (type.rejectedShare() - retryShare * retryProbability)
        / Math.max(RequestClassValue.MIN_SHARE, 1 - retryShare);
  }

  /**
   * When the client of a rejected request should come back: the later, the higher the overload
   * level.
   */
  double retryAfterMillis(InFlightRequest request) {
    if (!limits.retryAfterAdvice()) {
      return 0;
    }
    double longest =
        Math.min(
            limits.maxRetryAfterMillis(),
            MAX_RETRY_AFTER_OBJECTIVE_SHARE * request.requestClass().latencyObjectiveMillis());
    double level = request.statistics().placementGroup().overload().level();
    return Math.min(longest, PendingRequests.RETRY_INTERVAL_MILLIS + longest * level);
  }

  /** Whether attempts are watched for signs of overload. */
  boolean isActive() {
    return tier == CLIENT_TIER;
  }

  /** An attempt is still running after {@link OverloadDetector#lateAfterMillis}. */
  void attemptLate(Attempt attempt, List<EndpointStatistics> ready, double now) {
    OverloadDetector overload = overloadOf(attempt);
    attempt.reportLate();
    overload.recordOutcome(attempt, false, now);
    overload.recordLate(attempt, ready, now);
  }

  /** An attempt has ended. One that was cancelled, or reported late before, tells nothing new. */
  void attemptFinished(
      Attempt attempt, AttemptResult result, List<EndpointStatistics> ready, double now) {
    if (!isActive() || result.outcome() == AttemptOutcome.CANCELLED) {
      return;
    }
    OverloadDetector overload = overloadOf(attempt);
    boolean served = result.outcome() == AttemptOutcome.OK;
    overload.recordOutcome(attempt, served, now);
    boolean inTime = result.elapsedMillis() < OverloadDetector.lateAfterMillis(attempt.request());
    if (attempt.isReportedLate() || (inTime && isFault(result.outcome()))) {
      return;
    }
    if (served && inTime) {
      overload.recordTimely(attempt, now);
    } else {
      overload.recordLate(attempt, ready, now);
    }
  }

  /** An early failure of this kind comes from a faulty endpoint: shedding load would not help. */
  private static boolean isFault(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.ERROR
        || outcome == AttemptOutcome.RESET
        || outcome == AttemptOutcome.CONNECT_FAILED;
  }

  private static OverloadDetector overloadOf(Attempt attempt) {
    return attempt.request().statistics().placementGroup().overload();
  }
}
