package loadbalancer.policy;

import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;

/**
 * Turns outcomes and latencies of attempts into the evidence behind {@link EndpointCost}: served
 * attempts raise the success rate of their endpoint, all failures lower it.
 */
final class AttemptEvidence {

  /** Latencies below this are not told apart: keeps every cost above zero. */
  private static final double MIN_LATENCY_MILLIS = 0.01;

  private AttemptEvidence() {}

  /** Records the end of an attempt, unless it tells nothing of its endpoint. */
  static void recordOutcome(Attempt attempt, AttemptResult result, double now) {
    AttemptOutcome outcome = result.outcome();
    // A cancelled hedge counts like a timeout, but only if it was slow.
    boolean cancelledEarly =
        outcome == AttemptOutcome.CANCELLED
            && result.elapsedMillis() <= HedgingPolicy.slowAfterMillis(attempt.request());
    if (outcome == AttemptOutcome.NOT_SENT || cancelledEarly) {
      return;
    }
    RequestClassStatistics type = attempt.request().classStatistics();
    attempt.endpoint().decay(now);
    attempt.endpoint().recordOutcome(type.index(), outcome == AttemptOutcome.OK);
    if (outcome == AttemptOutcome.OK) {
      if (!attempt.isStreaming()) {
        recordLatency(attempt, result.elapsedMillis());
      }
    } else if (outcome == AttemptOutcome.CANCELLED || outcome == AttemptOutcome.TIMEOUT) {
      HedgingPolicy.recordUnfinished(type);
    }
  }

  /** Records the time to the response, or to the start of a streamed one. */
  static void recordLatency(Attempt attempt, double elapsedMillis) {
    RequestClassStatistics type = attempt.request().classStatistics();
    EndpointStatistics endpoint = attempt.endpoint();
    double atMeanCost =
        Math.max(MIN_LATENCY_MILLIS, elapsedMillis) / attempt.request().latencyFactor();
    double relative = atMeanCost / type.latencyMillis();
    HedgingPolicy.recordLatencyRatio(type, relative);
    type.recordLatency(atMeanCost / endpoint.relativeLatency());
    endpoint.recordLatency(relative, attempt.concurrencyAtSend());
  }
}
