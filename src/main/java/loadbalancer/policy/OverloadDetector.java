package loadbalancer.policy;

import java.util.List;
import loadbalancer.model.RequestClass;

/**
 * Estimates the share of the arriving work that has to be rejected so that the rest is served in
 * time.
 *
 * <p>Its input is whether attempts at the endpoints of one placement group were late or were served
 * in time. A late attempt raises the overload level and a timely one lowers it, each in proportion
 * to the time since the previous update, so that the level moves as fast at a low request rate as
 * at a high one.
 */
final class OverloadDetector {

  /** An attempt is late after (this share + late response value) x latency objective. */
  private static final double LATE_OBJECTIVE_SHARE = 0.5;

  /**
   * Rise of the level per second while attempts are late. One late attempt accounts for the time
   * since the previous update of the level, up to {@link #MAX_LATE_INTERVAL_MILLIS}.
   */
  private static final double LEVEL_RISE_PER_SECOND = 0.9;

  /**
   * Fall of the level per second while attempts are timely. One timely attempt accounts for the
   * time since the previous update of the level.
   */
  private static final double LEVEL_FALL_PER_SECOND = 0.22;

  /** Upper bound of the level. */
  private static final double MAX_LEVEL = 0.95;

  /**
   * A late attempt raises the level to at most this much above {@link Attempt#rejectedShareAtSend}.
   */
  private static final double MAX_RISE_ABOVE_SHARE_AT_SEND = 0.3;

  /** Longest time that one late attempt accounts for. */
  private static final double MAX_LATE_INTERVAL_MILLIS = 250;

  /** Time constant of the exponential decay of {@link #servedShareWhileAdmitting}. */
  private static final double SERVED_SHARE_DECAY_MILLIS = MAX_LATE_INTERVAL_MILLIS;

  /** Attempts sent at a lower rejected share count in {@link #servedShareWhileAdmitting}. */
  private static final double MOSTLY_ADMITTING_REJECTED_SHARE = 0.5;

  /** Rejected share that is allowed even while most of the admitted attempts are served. */
  private static final double MAX_REJECTED_SHARE_WHILE_SERVED = 0.25;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Any class of the placement group: all of them allow the same endpoints. */
  private final RequestClass placement;

  private double level;
  private double levelUpdatedAtMillis;

  /** Share of the attempts that were served, of those sent while most work was admitted. */
  private double servedShareWhileAdmitting = 1;

  private double servedShareUpdatedAtMillis;

  OverloadDetector(RequestClass placement) {
    this.placement = placement;
  }

  /** The time since it was sent after which an attempt counts as a sign of overload. */
  static double lateAfterMillis(InFlightRequest request) {
    RequestClass requestClass = request.requestClass();
    return (LATE_OBJECTIVE_SHARE + requestClass.lateResponseValue())
        * requestClass.latencyObjectiveMillis()
        * Math.max(1, request.relativeCost());
  }

  /** The overload level, from 0 (no overload) to 0.95. */
  double level() {
    return level;
  }

  /**
   * The share of the arriving work to reject, 0 to 1. This is the overload level, limited to what
   * the served share of the admitted attempts justifies: attempts that are late for another reason
   * than load are mostly served in the end, and rejecting their requests would only lose responses.
   */
  double rejectedShare() {
    // Rejecting pays off as far as unserved attempts outnumber the served ones that it would lose.
    double unservedMinusServed = 1 - 2 * servedShareWhileAdmitting;
    return Math.min(level, Math.max(MAX_REJECTED_SHARE_WHILE_SERVED, unservedMinusServed));
  }

  /** Records the outcome of an attempt if it was sent while most work was admitted. */
  void recordOutcome(Attempt attempt, boolean served, double now) {
    if (attempt.rejectedShareAtSend() < MOSTLY_ADMITTING_REJECTED_SHARE) {
      double decay = Math.exp((servedShareUpdatedAtMillis - now) / SERVED_SHARE_DECAY_MILLIS);
      servedShareWhileAdmitting = decay * servedShareWhileAdmitting + (served ? 1 - decay : 0);
      servedShareUpdatedAtMillis = now;
    }
  }

  /** Lowers the level for an attempt that was served in time. */
  void recordTimely(Attempt attempt, double now) {
    attempt.endpoint().recordLateness(false, now);
    double secondsSinceUpdate = (now - levelUpdatedAtMillis) / MILLIS_PER_SECOND;
    levelUpdatedAtMillis = now;
    level = Math.max(0, level - LEVEL_FALL_PER_SECOND * secondsSinceUpdate);
  }

  /**
   * Raises the level for a late attempt, unless most endpoints serve in time: a single endpoint
   * that hangs is no reason to reject requests that others can serve.
   *
   * <p>The attempt does not show the effect of what has been rejected since it was sent. Therefore
   * it raises the level at most to a limited amount above the share that was being rejected when it
   * was sent, see {@link Attempt#rejectedShareAtSend}.
   */
  void recordLate(Attempt attempt, List<EndpointStatistics> readyEndpoints, double now) {
    attempt.endpoint().recordLateness(true, now);
    if (!mostEndpointsAreLate(readyEndpoints, now)) {
      return;
    }
    double secondsSinceUpdate =
        Math.min(MAX_LATE_INTERVAL_MILLIS, now - levelUpdatedAtMillis) / MILLIS_PER_SECOND;
    levelUpdatedAtMillis = now;
    double maxLevel =
        Math.min(MAX_LEVEL, attempt.rejectedShareAtSend() + MAX_RISE_ABOVE_SHARE_AT_SEND);
    level = Math.max(level, Math.min(maxLevel, level + LEVEL_RISE_PER_SECOND * secondsSinceUpdate));
  }

  /**
   * Whether the endpoints whose latest evidence is a late attempt have more than half of the recent
   * attempts. Endpoints without recent evidence do not count.
   */
  private boolean mostEndpointsAreLate(List<EndpointStatistics> readyEndpoints, double now) {
    double lateMinusTimelyAttempts = 0;
    for (EndpointStatistics endpoint : readyEndpoints) {
      if (placement.allows(endpoint.listedEndpoint())
          && now - endpoint.latenessKnownAtMillis() < EndpointStatistics.STATISTICS_DECAY_MILLIS) {
        double recentAttempts = endpoint.attempts() + endpoint.inFlightCount();
        lateMinusTimelyAttempts += endpoint.wasLate() ? recentAttempts : -recentAttempts;
      }
    }
    return lateMinusTimelyAttempts > 0;
  }
}
