package loadbalancer.policy;

import loadbalancer.model.RequestClass;

/** Evidence about a request class over all endpoints; no decisions. */
final class RequestClassStatistics {

  /** Gain of the averages over all endpoints. */
  static final double MIN_AVERAGE_GAIN = 0.02;

  /** Expected latency before any was seen, as a share of the latency objective. */
  private static final double FIRST_LATENCY_OBJECTIVE_SHARE = 0.2;

  private final int index;
  private final RequestClass requestClass;
  private final ExponentialMovingAverage latency;
  private final ExponentialMovingAverage cost = new ExponentialMovingAverage(0, MIN_AVERAGE_GAIN);
  private final ExponentialMovingAverage clientRetryShare =
      new ExponentialMovingAverage(0, MIN_AVERAGE_GAIN);
  private PlacementGroup placementGroup;
  private double trafficShare;
  private double rejectedShare;
  private double nextSelectionAtMillis = Double.NEGATIVE_INFINITY;
  private double slowRatio = HedgingPolicy.INITIAL_SLOW_RATIO;

  RequestClassStatistics(int index, RequestClass type) {
    this.index = index;
    this.requestClass = type;
    latency =
        new ExponentialMovingAverage(
            FIRST_LATENCY_OBJECTIVE_SHARE * type.latencyObjectiveMillis(), MIN_AVERAGE_GAIN);
  }

  int index() {
    return index;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  /** The classes that may go to the same endpoints. */
  PlacementGroup placementGroup() {
    return placementGroup;
  }

  void setPlacementGroup(PlacementGroup group) {
    placementGroup = group;
  }

  /** Served latency of a request of mean cost on an average endpoint. */
  double latencyMillis() {
    return latency.value();
  }

  void recordLatency(double millis) {
    latency.add(millis);
  }

  /** Mean stated cost; 0 if none was stated. */
  double meanCostMillis() {
    return cost.value();
  }

  /** Records the cost, if stated, and the retry mark of an arriving request. */
  void recordArrival(double costMillis, boolean clientRetry) {
    if (costMillis > 0) {
      cost.add(costMillis);
    }
    clientRetryShare.add(clientRetry ? 1 : 0);
  }

  /** Share of its requests, 0 to 1, that clients have marked as retries. */
  double clientRetryShare() {
    return clientRetryShare.value();
  }

  /** Its share of all arriving requests, 0 to 1. */
  double trafficShare() {
    return trafficShare;
  }

  /** Moves the share for one arrival, of this class or of another. */
  void updateTrafficShare(boolean ofThisClass) {
    trafficShare += MIN_AVERAGE_GAIN * ((ofThisClass ? 1 : 0) - trafficShare);
  }

  /** Share of its requests to reject on arrival, 0 to 1. */
  double rejectedShare() {
    return rejectedShare;
  }

  void setRejectedShare(double share) {
    rejectedShare = share;
  }

  /** When its queued requests next look for an endpoint. */
  double nextSelectionAtMillis() {
    return nextSelectionAtMillis;
  }

  void setNextSelectionAtMillis(double atMillis) {
    nextSelectionAtMillis = atMillis;
  }

  /** The multiple of the expected latency that only slow attempts exceed. */
  double slowRatio() {
    return slowRatio;
  }

  void setSlowRatio(double ratio) {
    slowRatio = ratio;
  }
}
