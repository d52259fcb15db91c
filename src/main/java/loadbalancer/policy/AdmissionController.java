package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.LimitSettings;

/**
 * Load shedding: decides whether an arriving request is rejected before any work is spent on it.
 *
 * <p>Only balancers of the tier that clients reach directly shed load. A rejection in a later tier
 * would waste the work that the earlier tiers have already done for the request.
 */
final class AdmissionController {

  /** Index of the tier that clients reach directly. */
  static final int CLIENT_FACING_TIER = 0;

  /**
   * Upper bound of the Retry-After advice as a share of the latency objective, so that the client
   * is still waiting for a response when it retries.
   */
  private static final double MAX_RETRY_AFTER_OBJECTIVE_SHARE = 0.5;

  private final int tier;
  private final LimitSettings limits;
  private final RequestClassStatistics[] requestClasses;
  private final SheddingPlan sheddingPlan;
  private final SplittableRandom random;

  AdmissionController(
      int tier,
      LimitSettings limits,
      RequestClassStatistics[] requestClasses,
      SheddingPlan sheddingPlan,
      SplittableRandom random) {
    this.tier = tier;
    this.limits = limits;
    this.requestClasses = requestClasses;
    this.sheddingPlan = sheddingPlan;
    this.random = random;
  }

  /** Counts an arriving request and decides whether to reject it immediately. */
  boolean shouldReject(InFlightRequest request) {
    RequestClassStatistics arrivingClass = request.classStatistics();
    for (RequestClassStatistics classStatistics : requestClasses) {
      classStatistics.updateTrafficShare(classStatistics == arrivingClass);
    }
    if (arrivingClass.placementGroup().overload().level() == 0) {
      return false;
    }
    sheddingPlan.update(arrivingClass.placementGroup());
    return random.nextDouble() < rejectionProbability(request);
  }

  /**
   * The probability of rejecting this request. Averaged over all requests of the class, it equals
   * the rejected share of the class. Requests that their clients marked as retries are rejected
   * first: their clients have already waited, and an initial request that is served causes no
   * retry.
   */
  private static double rejectionProbability(InFlightRequest request) {
    RequestClassStatistics classStatistics = request.classStatistics();
    double clientRetryShare = classStatistics.clientRetryShare();
    double clientRetryProbability =
        Math.min(
            1,
            classStatistics.rejectedShare()
                / Math.max(RequestClassValue.MIN_SHARE, clientRetryShare));
    if (request.clientRequest().retry()) {
      return clientRetryProbability;
    }
    return (classStatistics.rejectedShare() - clientRetryShare * clientRetryProbability)
        / Math.max(RequestClassValue.MIN_SHARE, 1 - clientRetryShare);
  }

  /**
   * The Retry-After advice for the client of a rejected request, in milliseconds; 0 for no advice.
   * It grows with the overload level.
   */
  double retryAfterMillis(InFlightRequest request) {
    if (!limits.retryAfterAdvice()) {
      return 0;
    }
    double maxRetryAfterMillis =
        Math.min(
            limits.maxRetryAfterMillis(),
            MAX_RETRY_AFTER_OBJECTIVE_SHARE * request.requestClass().latencyObjectiveMillis());
    double overloadLevel = request.classStatistics().placementGroup().overload().level();
    return Math.min(
        maxRetryAfterMillis,
        PendingRequests.SELECTION_INTERVAL_MILLIS + maxRetryAfterMillis * overloadLevel);
  }

  /**
   * Whether attempts are monitored for signs of overload: only in the tier that clients reach
   * directly. In the other tiers the overload level stays at 0, so that no load is shed.
   */
  boolean monitorsAttempts() {
    return tier == CLIENT_FACING_TIER;
  }

  /** Records that an attempt is still running after {@link OverloadDetector#lateAfterMillis}. */
  void attemptLate(Attempt attempt, List<EndpointStatistics> readyEndpoints, double now) {
    OverloadDetector overload = overloadOf(attempt);
    attempt.reportLate();
    overload.recordOutcome(attempt, false, now);
    overload.recordLate(attempt, readyEndpoints, now);
  }

  /**
   * Records the end of an attempt. A cancelled attempt says nothing about overload, and one that
   * {@link #attemptLate} has recorded does not change the overload level a second time.
   */
  void attemptFinished(
      Attempt attempt, AttemptResult result, List<EndpointStatistics> readyEndpoints, double now) {
    if (!monitorsAttempts() || result.outcome() == AttemptOutcome.CANCELLED) {
      return;
    }
    OverloadDetector overload = overloadOf(attempt);
    boolean served = result.outcome() == AttemptOutcome.OK;
    overload.recordOutcome(attempt, served, now);
    boolean timely = result.elapsedMillis() < OverloadDetector.lateAfterMillis(attempt.request());
    if (attempt.isReportedLate() || (timely && isEndpointFault(result.outcome()))) {
      return;
    }
    if (served && timely) {
      overload.recordTimely(attempt, now);
    } else {
      overload.recordLate(attempt, readyEndpoints, now);
    }
  }

  /**
   * Whether a failure that was not late points to a faulty endpoint and not to overload: shedding
   * load would not prevent it.
   */
  private static boolean isEndpointFault(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.ERROR
        || outcome == AttemptOutcome.RESET
        || outcome == AttemptOutcome.CONNECT_FAILED;
  }

  private static OverloadDetector overloadOf(Attempt attempt) {
    return attempt.request().classStatistics().placementGroup().overload();
  }
}
