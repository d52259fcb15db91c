package loadbalancer.policy;

import java.util.List;
import loadbalancer.model.RequestClass;

/**
 * Estimates which share of the arriving work has to be rejected so that the rest is served in time.
 *
 * <p>Input: attempts that were late, or were served in time, at the endpoints of one placement
 * group. The level rises with the time that late attempts stand for and falls with that of timely
 * ones, so that it moves as fast where traffic is thin.
 */
final class OverloadDetector {

  /** An attempt is late after (this share + late response value) x objective. */
  private static final double LATE_OBJECTIVE_SHARE = 0.5;

  /** Change of the level in a second of late attempts, and in one of timely ones. */
  private static final double LEVEL_RISE_PER_SECOND = 0.9;

  private static final double LEVEL_FALL_PER_SECOND = 0.22;
  private static final double MAX_LEVEL = 0.95;

  /** How far one late attempt may lift the level above the rejected share at its send. */
  private static final double MAX_RISE_ABOVE_SEND = 0.3;

  /** Longest time that one late attempt stands for, and decay of {@link #servedWhileAdmitting}. */
  private static final double MAX_LATE_INTERVAL_MILLIS = 250;

  /** Attempts sent at a lower rejected share tell how requests fare when admitted. */
  private static final double MOSTLY_ADMITTED_SHARE = 0.5;

  /** Rejected share that late attempts alone justify. */
  private static final double UNCONFIRMED_REJECTED_SHARE = 0.25;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final RequestClass placement;
  private double level;
  private double levelUpdatedAtMillis;
  private double servedWhileAdmitting = 1;
  private double servedWhileAdmittingAtMillis;

  OverloadDetector(RequestClass placement) {
    this.placement = placement;
  }

  /** Time after which an attempt is a sign of overload. */
  static double lateAfterMillis(InFlightRequest request) {
    RequestClass type = request.requestClass();
    return (LATE_OBJECTIVE_SHARE + type.lateResponseValue())
        * type.latencyObjectiveMillis()
        * Math.max(1, request.relativeCost());
  }

  /** The overload level, 0 to 0.95: 0 if nothing is late. */
  double level() {
    return level;
  }

  /**
   * The share of the arriving work to reject, 0 to 1: the level, as far as rejecting can save more
   * requests than it costs. Attempts that are late for another cause than load are mostly served;
   * rejecting would only lose them.
   */
  double rejectedShare() {
    // Late requests in excess of the served ones: rejecting one loses what might be served.
    double lateBeyondServed = 1 - 2 * servedWhileAdmitting;
    return Math.min(level, Math.max(UNCONFIRMED_REJECTED_SHARE, lateBeyondServed));
  }

  /** Records how an attempt fared that was sent while most work was admitted. */
  void recordOutcome(Attempt attempt, boolean served, double now) {
    if (attempt.rejectedShareAtSend() < MOSTLY_ADMITTED_SHARE) {
      double decay = Math.exp((servedWhileAdmittingAtMillis - now) / MAX_LATE_INTERVAL_MILLIS);
      servedWhileAdmitting = decay * servedWhileAdmitting + (served ? 1 - decay : 0);
      servedWhileAdmittingAtMillis = now;
    }
  }

  /** Lowers the level for an attempt that was served in time. */
  void recordTimely(Attempt attempt, double now) {
    attempt.endpoint().recordLateness(false, now);
    double seconds = (now - levelUpdatedAtMillis) / MILLIS_PER_SECOND;
    levelUpdatedAtMillis = now;
    level = Math.max(0, level - LEVEL_FALL_PER_SECOND * seconds);
  }

  /**
   * Raises the level for a late attempt, unless most endpoints serve in time: one that hangs is no
   * reason to reject what others serve. The attempt was sent some time ago and says little of what
   * has been rejected since, so it lifts the level only so far above the share at its send.
   */
  void recordLate(Attempt attempt, List<EndpointStatistics> ready, double now) {
    attempt.endpoint().recordLateness(true, now);
    if (!mostEndpointsAreLate(ready, now)) {
      return;
    }
    double seconds =
        Math.min(MAX_LATE_INTERVAL_MILLIS, now - levelUpdatedAtMillis) / MILLIS_PER_SECOND;
    levelUpdatedAtMillis = now;
    double limit = Math.min(MAX_LEVEL, attempt.rejectedShareAtSend() + MAX_RISE_ABOVE_SEND);
    level = Math.max(level, Math.min(limit, level + LEVEL_RISE_PER_SECOND * seconds));
  }

  /** Whether the endpoints that have most of the recent attempts were late at last. */
  private boolean mostEndpointsAreLate(List<EndpointStatistics> ready, double now) {
    double balance = 0;
    for (EndpointStatistics endpoint : ready) {
      if (placement.allows(endpoint.listedEndpoint())
          && now - endpoint.latenessKnownAtMillis() < EndpointStatistics.STATISTICS_DECAY_MILLIS) {
        double attempts = endpoint.attempts() + endpoint.inFlightCount();
        balance += endpoint.wasLate() ? attempts : -attempts;
      }
    }
    return balance > 0;
  }
}
