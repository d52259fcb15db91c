package loadbalancer.policy;

import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;

/**
 * Records the outcomes and latencies of attempts in the statistics that {@link EndpointCost} uses.
 * A served attempt raises the success rate of its endpoint; any failure lowers it.
 */
final class AttemptRecorder {

  /** Lower bound of a recorded latency; it keeps the cost of every endpoint above 0. */
  private static final double MIN_LATENCY_MILLIS = 0.01;

  private AttemptRecorder() {}

  /**
   * Records the outcome of a finished attempt, and its latency if it was served. Ignores attempts
   * that were not sent or were cancelled before they were slow: they do not show how well the
   * endpoint serves.
   */
  static void recordOutcome(Attempt attempt, AttemptResult result, double now) {
    AttemptOutcome outcome = result.outcome();
    // An attempt is cancelled when another one has been served or the client has disconnected. It
    // counts like a timeout if it was slow by then.
    boolean cancelledEarly =
        outcome == AttemptOutcome.CANCELLED
            && result.elapsedMillis() <= HedgingPolicy.slowAfterMillis(attempt.request());
    if (outcome == AttemptOutcome.NOT_SENT || cancelledEarly) {
      return;
    }
    RequestClassStatistics classStatistics = attempt.request().classStatistics();
    attempt.endpoint().decay(now);
    attempt.endpoint().recordOutcome(classStatistics.index(), outcome == AttemptOutcome.OK);
    if (outcome == AttemptOutcome.OK) {
      if (!attempt.isStreaming()) {
        recordLatency(attempt, result.elapsedMillis());
      }
    } else if (outcome == AttemptOutcome.CANCELLED || outcome == AttemptOutcome.TIMEOUT) {
      HedgingPolicy.recordUnfinished(classStatistics);
    }
  }

  /** Records the time from the send to the response, or to the start of a streamed response. */
  static void recordLatency(Attempt attempt, double elapsedMillis) {
    RequestClassStatistics classStatistics = attempt.request().classStatistics();
    EndpointStatistics endpoint = attempt.endpoint();
    double latencyAtMeanCost =
        Math.max(MIN_LATENCY_MILLIS, elapsedMillis) / attempt.request().latencyFactor();
    double relativeLatency = latencyAtMeanCost / classStatistics.latencyMillis();
    HedgingPolicy.recordLatencyRatio(classStatistics, relativeLatency);
    classStatistics.recordLatency(latencyAtMeanCost / endpoint.relativeLatency());
    endpoint.recordLatency(relativeLatency, attempt.concurrencyAtSend());
  }
}
