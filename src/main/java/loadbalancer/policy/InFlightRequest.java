package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.RequestClass;

/**
 * A request, from its arrival until it has its final response and none of its attempts may still be
 * running. Holds state only; the decisions are made elsewhere.
 */
final class InFlightRequest {

  /** Share of the expected latency in proportion to the cost estimate; the rest is queueing. */
  private static final double COST_DEPENDENT_SHARE = 0.5;

  private final ClientRequest clientRequest;
  private final RequestClass requestClass;
  private final RequestClassStatistics classStatistics;
  private final long id;
  private final double arrivedAtMillis;
  private final double usefulUntilMillis;
  private final List<Attempt> attempts = new ArrayList<>(2);

  /**
   * The requests with the same ordering key in order of arrival, this one included; null without an
   * ordering key.
   */
  private ArrayDeque<InFlightRequest> keyQueue;

  private double keyReservedUntilMillis = Double.NEGATIVE_INFINITY;
  private double queuedUntilMillis;
  private int runningAttempts;
  private boolean done;
  private boolean streaming;

  InFlightRequest(
      ClientRequest clientRequest, RequestClassStatistics classStatistics, double arrivedAtMillis) {
    this.clientRequest = clientRequest;
    this.classStatistics = classStatistics;
    this.requestClass = classStatistics.requestClass();
    this.id = clientRequest.id();
    this.arrivedAtMillis = arrivedAtMillis;
    this.usefulUntilMillis = computeUsefulUntilMillis(clientRequest, requestClass, arrivedAtMillis);
  }

  /**
   * The deadline or, if a late response has no value, the end of the latency objective where that
   * is earlier: work on a response that will have no value wastes capacity.
   */
  private static double computeUsefulUntilMillis(
      ClientRequest clientRequest, RequestClass requestClass, double arrivedAtMillis) {
    if (requestClass.lateResponseValue() > 0) {
      return clientRequest.deadlineMillis();
    }
    double objectiveMillis =
        requestClass.latencyObjectiveMillis()
            + requestClass.objectivePerCost() * clientRequest.costMillis();
    return Math.min(
        clientRequest.deadlineMillis(),
        arrivedAtMillis + Math.min(requestClass.deadlineMillis(), objectiveMillis));
  }

  ClientRequest clientRequest() {
    return clientRequest;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  RequestClassStatistics classStatistics() {
    return classStatistics;
  }

  long id() {
    return id;
  }

  double arrivedAtMillis() {
    return arrivedAtMillis;
  }

  /** The time after which a response has no value for the client. */
  double usefulUntilMillis() {
    return usefulUntilMillis;
  }

  List<Attempt> attempts() {
    return attempts;
  }

  void addAttempt(Attempt attempt) {
    attempts.add(attempt);
    runningAttempts++;
  }

  void attemptFinished() {
    runningAttempts--;
  }

  /** Whether any attempt has not ended. */
  boolean hasRunningAttempt() {
    return runningAttempts > 0;
  }

  /** Whether it has its final response or, after its client disconnected, needs none. */
  boolean isDone() {
    return done;
  }

  void markDone() {
    done = true;
  }

  /** Whether a streamed response to the client has begun. */
  boolean isStreaming() {
    return streaming;
  }

  void startStreaming() {
    streaming = true;
  }

  /** The requests with the same ordering key; null without an ordering key. */
  ArrayDeque<InFlightRequest> keyQueue() {
    return keyQueue;
  }

  void setKeyQueue(ArrayDeque<InFlightRequest> queue) {
    keyQueue = queue;
  }

  /** Until when its ordering key stays reserved, as an abandoned attempt may still be running. */
  double keyReservedUntilMillis() {
    return keyReservedUntilMillis;
  }

  void setKeyReservedUntilMillis(double untilMillis) {
    keyReservedUntilMillis = untilMillis;
  }

  /** Until when it may stay queued while no endpoint can be selected for it. */
  double queuedUntilMillis() {
    return queuedUntilMillis;
  }

  void setQueuedUntilMillis(double untilMillis) {
    queuedUntilMillis = untilMillis;
  }

  /** Its cost estimate relative to the mean of its class; 1 if either is unknown. */
  double relativeCost() {
    double meanCostMillis = classStatistics.meanCostMillis();
    return clientRequest.costMillis() > 0 && meanCostMillis > 0
        ? clientRequest.costMillis() / meanCostMillis
        : 1;
  }

  /** Its expected latency relative to that of a request of mean cost of its class. */
  double latencyFactor() {
    return 1 - COST_DEPENDENT_SHARE + COST_DEPENDENT_SHARE * relativeCost();
  }

  /** Its expected latency on an average endpoint. */
  double expectedLatencyMillis() {
    return classStatistics.latencyMillis() * latencyFactor();
  }

  /** Whether an attempt has been sent to the endpoint. */
  boolean hasTried(EndpointStatistics endpoint) {
    for (Attempt attempt : attempts) {
      if (attempt.endpoint() == endpoint) {
        return true;
      }
    }
    return false;
  }

  /** The earliest attempt that may have had an effect, or null if there is none. */
  Attempt firstAttemptThatMayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return attempt;
      }
    }
    return null;
  }
}
