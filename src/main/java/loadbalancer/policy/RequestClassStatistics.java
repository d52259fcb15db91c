package loadbalancer.policy;

import loadbalancer.model.RequestClass;

/**
 * What this instance knows of one request class over all endpoints: latency, cost, shares of
 * traffic and of client retries, and the current results of the rules for the class. Makes no
 * decisions.
 */
final class RequestClassStatistics {

  /** Minimum gain of the moving averages over all endpoints; also the gain of the traffic share. */
  static final double MIN_AVERAGE_GAIN = 0.02;

  /** Initial value of the expected latency, as a share of the latency objective. */
  private static final double INITIAL_LATENCY_OBJECTIVE_SHARE = 0.2;

  private final int index;
  private final RequestClass requestClass;
  private final ExponentialMovingAverage latencyMillis;
  private final ExponentialMovingAverage costMillis =
      new ExponentialMovingAverage(0, MIN_AVERAGE_GAIN);
  private final ExponentialMovingAverage clientRetryShare =
      new ExponentialMovingAverage(0, MIN_AVERAGE_GAIN);
  private PlacementGroup placementGroup;
  private double trafficShare;
  private double rejectedShare;
  private double nextSelectionAtMillis = Double.NEGATIVE_INFINITY;
  private double slowRatio = HedgingPolicy.INITIAL_SLOW_RATIO;

  RequestClassStatistics(int index, RequestClass requestClass) {
    this.index = index;
    this.requestClass = requestClass;
    latencyMillis =
        new ExponentialMovingAverage(
            INITIAL_LATENCY_OBJECTIVE_SHARE * requestClass.latencyObjectiveMillis(),
            MIN_AVERAGE_GAIN);
  }

  int index() {
    return index;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  /** The classes with the same placement, this one included. */
  PlacementGroup placementGroup() {
    return placementGroup;
  }

  void setPlacementGroup(PlacementGroup group) {
    placementGroup = group;
  }

  /** Expected latency of a request of mean cost at an average endpoint. */
  double latencyMillis() {
    return latencyMillis.value();
  }

  void recordLatency(double millis) {
    latencyMillis.add(millis);
  }

  /** Mean of the cost estimates that requests carry; 0 if none has carried one. */
  double meanCostMillis() {
    return costMillis.value();
  }

  /**
   * Records an arriving request.
   *
   * @param costMillis its cost estimate; 0 if it has none
   * @param clientRetry whether its client has marked it as a retry
   */
  void recordArrival(double costMillis, boolean clientRetry) {
    if (costMillis > 0) {
      this.costMillis.add(costMillis);
    }
    clientRetryShare.add(clientRetry ? 1 : 0);
  }

  /** Share, 0 to 1, of the requests of this class that clients have marked as retries. */
  double clientRetryShare() {
    return clientRetryShare.value();
  }

  /** Share, 0 to 1, of this class in all arriving requests. */
  double trafficShare() {
    return trafficShare;
  }

  /** Updates the traffic share for an arriving request, of this class or of another. */
  void updateTrafficShare(boolean ofThisClass) {
    trafficShare += MIN_AVERAGE_GAIN * ((ofThisClass ? 1 : 0) - trafficShare);
  }

  /** Share, 0 to 1, of the requests of this class to reject on arrival. */
  double rejectedShare() {
    return rejectedShare;
  }

  void setRejectedShare(double share) {
    rejectedShare = share;
  }

  /**
   * The earliest time at which a queued request of this class may run the endpoint selection again,
   * in milliseconds; negative infinity if it may do so at any time.
   */
  double nextSelectionAtMillis() {
    return nextSelectionAtMillis;
  }

  void setNextSelectionAtMillis(double atMillis) {
    nextSelectionAtMillis = atMillis;
  }

  /** The multiple of the expected latency above which an attempt of this class is slow. */
  double slowRatio() {
    return slowRatio;
  }

  void setSlowRatio(double ratio) {
    slowRatio = ratio;
  }
}
