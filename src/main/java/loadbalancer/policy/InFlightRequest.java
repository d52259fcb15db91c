package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.RequestClass;

/** A request that is not settled, with its attempts: state only, no decisions. */
final class InFlightRequest {

  /** Share of the expected latency that grows with the request's cost; the rest is queueing. */
  private static final double COST_DEPENDENT_SHARE = 0.5;

  private final ClientRequest clientRequest;
  private final RequestClass requestClass;
  private final RequestClassStatistics statistics;
  private final long id;
  private final double arrivedAtMillis;
  private final double usefulUntilMillis;
  private final List<Attempt> attempts = new ArrayList<>(2);

  /** The unsettled requests of its key in order of arrival, this one included; null if unkeyed. */
  private ArrayDeque<InFlightRequest> keyQueue;

  private double settlesAtMillis = Double.NEGATIVE_INFINITY;
  private double queuedUntilMillis;
  private int running;
  private boolean done;
  private boolean streaming;

  InFlightRequest(ClientRequest request, RequestClassStatistics statistics, double arrivedAt) {
    this.clientRequest = request;
    this.statistics = statistics;
    this.requestClass = statistics.requestClass();
    this.id = request.id();
    this.arrivedAtMillis = arrivedAt;
    this.usefulUntilMillis = endOfUse(request, requestClass, arrivedAt);
  }

  /** A late response without value is not worth its work: the objective is then the deadline. */
  private static double endOfUse(ClientRequest request, RequestClass type, double arrivedAt) {
    if (type.lateResponseValue() > 0) {
      return request.deadlineMillis();
    }
    double objectiveMillis =
        type.latencyObjectiveMillis() + type.objectivePerCost() * request.costMillis();
    return Math.min(
        request.deadlineMillis(), arrivedAt + Math.min(type.deadlineMillis(), objectiveMillis));
  }

  ClientRequest clientRequest() {
    return clientRequest;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  RequestClassStatistics statistics() {
    return statistics;
  }

  long id() {
    return id;
  }

  double arrivedAtMillis() {
    return arrivedAtMillis;
  }

  /** When a response stops being worth its work. */
  double usefulUntilMillis() {
    return usefulUntilMillis;
  }

  List<Attempt> attempts() {
    return attempts;
  }

  void addAttempt(Attempt attempt) {
    attempts.add(attempt);
    running++;
  }

  void attemptFinished() {
    running--;
  }

  boolean hasRunningAttempt() {
    return running > 0;
  }

  /** Whether the final response has been given or is no longer owed. */
  boolean isDone() {
    return done;
  }

  void markDone() {
    done = true;
  }

  /** Whether a response to the client has begun. */
  boolean isStreaming() {
    return streaming;
  }

  void startStreaming() {
    streaming = true;
  }

  ArrayDeque<InFlightRequest> keyQueue() {
    return keyQueue;
  }

  void setKeyQueue(ArrayDeque<InFlightRequest> queue) {
    keyQueue = queue;
  }

  /** Until when an abandoned attempt may still be running. */
  double settlesAtMillis() {
    return settlesAtMillis;
  }

  void setSettlesAtMillis(double atMillis) {
    settlesAtMillis = atMillis;
  }

  /** Until when it stays queued if no endpoint is found. */
  double queuedUntilMillis() {
    return queuedUntilMillis;
  }

  void setQueuedUntilMillis(double untilMillis) {
    queuedUntilMillis = untilMillis;
  }

  /** Its expected work relative to the mean of its class; 1 if unknown. */
  double relativeCost() {
    double mean = statistics.meanCostMillis();
    return clientRequest.costMillis() > 0 && mean > 0 ? clientRequest.costMillis() / mean : 1;
  }

  /** Its expected latency relative to the mean of its class. */
  double latencyFactor() {
    return 1 - COST_DEPENDENT_SHARE + COST_DEPENDENT_SHARE * relativeCost();
  }

  /** Its expected latency on an average endpoint. */
  double expectedLatencyMillis() {
    return statistics.latencyMillis() * latencyFactor();
  }

  boolean hasTried(EndpointStatistics endpoint) {
    for (Attempt attempt : attempts) {
      if (attempt.endpoint() == endpoint) {
        return true;
      }
    }
    return false;
  }

  /** The earliest attempt that may have had an effect; null if there is none. */
  Attempt firstAttemptThatMayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return attempt;
      }
    }
    return null;
  }
}
