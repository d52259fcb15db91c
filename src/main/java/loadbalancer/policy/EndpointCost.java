package loadbalancer.policy;

import loadbalancer.model.PolicySettings;

/**
 * The cost of sending a request to an endpoint, in milliseconds. It starts from the expected
 * latency and the delay to expect from failures, rises with the attempts in flight and the time by
 * which the oldest of them is overdue, and is multiplied by a factor for each further reason to
 * avoid the endpoint: frequent failures, queueing, another zone, a place outside the subset, other
 * requests that can be sent to few endpoints only, warm-up. Endpoints are selected with a
 * probability in proportion to 1/cost.
 */
final class EndpointCost {

  /**
   * Lower bound of the success rate in the expected latency, so that an endpoint that fails every
   * attempt still gets one from time to time, which shows when it has recovered.
   */
  private static final double MIN_SUCCESS_RATE = 0.05;

  /**
   * Relative cost increase for each attempt in flight at the endpoint: a new attempt has to wait
   * for these.
   */
  private static final double COST_INCREASE_PER_ATTEMPT_IN_FLIGHT = 1.4;

  /** Cost in milliseconds for each millisecond by which the oldest attempt is overdue. */
  private static final double COST_PER_OVERDUE_MILLI = 4;

  /**
   * Relative cost increase for an endpoint in another zone is this times the square root of {@link
   * loadbalancer.model.CostSettings#crossZoneCost()}. It is finite, so that endpoints in other
   * zones are still selected occasionally.
   */
  private static final double CROSS_ZONE_PENALTY_FACTOR = 400;

  /**
   * Exponent of the failure rate and of the queueing delay, each relative to its limit, in the
   * factors that offset the cross-zone penalty. It is high, so that half of the limit offsets only
   * a sixteenth of the penalty.
   */
  private static final double CROSS_ZONE_OFFSET_EXPONENT = 4;

  /** Failure rate, 0 to 1, at which the failure factor equals the cross-zone factor. */
  private static final double CROSS_ZONE_FAILURE_RATE_LIMIT = 0.4;

  /**
   * Upper bound of the failure factor, in multiples of the cross-zone penalty, so that a failing
   * endpoint still gets attempts that show when it has recovered.
   */
  private static final double MAX_FAILURE_PENALTY_RATIO = 16;

  /**
   * Lower bound of the mean number of other attempts in flight in the queueing estimate: whatever
   * was observed, an endpoint is assumed to be able to serve this many others at the same time.
   */
  private static final double MIN_CONCURRENCY = 4;

  /**
   * Relative cost increase outside the subset before any attempt has been recorded. Later the
   * increase is this divided by (1 + a)², where a is the mean number of recent attempts of this
   * instance per ready endpoint.
   */
  private static final double OUTSIDE_SUBSET_PENALTY = 60;

  /**
   * Relative cost increase outside the subset for each point of the connection and handshake cost
   * in {@link loadbalancer.model.CostSettings}.
   */
  private static final double CONNECTION_PENALTY_FACTOR = 200;

  /**
   * Request classes with a restricted placement may be sent to some zones or machine types only. An
   * endpoint that they may be sent to is more expensive for requests of all other placements: the
   * relative increase is this times the sum of the overload level of the restricted placement, 0 to
   * 0.95, and {@link #RESTRICTED_PLACEMENT_BASE_LEVEL}.
   */
  private static final double RESTRICTED_PLACEMENT_PENALTY_FACTOR = 40;

  /**
   * Added to the overload level of a restricted placement, so that other requests avoid its
   * endpoints to some extent even without overload.
   */
  private static final double RESTRICTED_PLACEMENT_BASE_LEVEL = HedgingPolicy.OVERLOAD_LIMIT / 2;

  private final PlacementGroup[] placementGroups;
  private final SlowStart slowStart;
  private final int zone;
  private final double crossZonePenalty;
  private final double connectionPenalty;

  EndpointCost(PolicySettings settings, PlacementGroup[] placementGroups, SlowStart slowStart) {
    this.placementGroups = placementGroups;
    this.slowStart = slowStart;
    this.zone = settings.zone();
    this.crossZonePenalty = CROSS_ZONE_PENALTY_FACTOR * Math.sqrt(settings.costs().crossZoneCost());
    this.connectionPenalty =
        CONNECTION_PENALTY_FACTOR
            * (settings.costs().connectionCost() + settings.costs().handshakeCost());
  }

  /**
   * The cost in milliseconds of sending the request to the endpoint.
   *
   * @param attemptsPerEndpoint mean number of recent attempts of this instance per ready endpoint,
   *     decayed as in {@link EndpointStatistics#attempts()}
   */
  double costMillis(
      EndpointStatistics endpoint,
      InFlightRequest request,
      double attemptsPerEndpoint,
      double now) {
    endpoint.decay(now);
    double successRate = endpoint.successRate(request.classStatistics().index());
    // Added after the in-flight factor, the overdue cost is multiplied only by the factors below.
    double costMillis = latencyWithFailuresMillis(endpoint, request, successRate);
    costMillis *= failureFactor(successRate);
    costMillis *= 1 + COST_INCREASE_PER_ATTEMPT_IN_FLIGHT * endpoint.inFlightCount();
    costMillis += overdueCostMillis(endpoint, now);
    costMillis *= queueingFactor(endpoint, request);
    if (endpoint.listedEndpoint().zone() != zone) {
      costMillis *= 1 + crossZonePenalty;
    }
    if (!endpoint.isInSubset()) {
      costMillis *= outsideSubsetFactor(attemptsPerEndpoint);
    }
    costMillis = withRestrictedPlacementPenalty(costMillis, endpoint, request);
    return costMillis / slowStart.warmUpFraction(endpoint, now);
  }

  /**
   * The expected latency, plus the latency objective for each failed attempt to expect before one
   * succeeds.
   */
  private static double latencyWithFailuresMillis(
      EndpointStatistics endpoint, InFlightRequest request, double successRate) {
    return endpoint.relativeLatency() * request.classStatistics().latencyMillis()
        + request.requestClass().latencyObjectiveMillis()
            * (1 / Math.max(MIN_SUCCESS_RATE, successRate) - 1);
  }

  /**
   * Raises the cost of a failing endpoint enough to offset the cross-zone penalty of healthy
   * endpoints in other zones. Without it, an endpoint that fails at once would have no attempts in
   * flight and look idle. One or two failures are not enough to send requests to another zone.
   */
  private double failureFactor(double successRate) {
    return 1
        + crossZonePenalty
            * Math.min(
                MAX_FAILURE_PENALTY_RATIO,
                Math.pow(
                    (1 - successRate) / CROSS_ZONE_FAILURE_RATE_LIMIT, CROSS_ZONE_OFFSET_EXPONENT));
  }

  /**
   * The cost of the time by which the oldest attempt in flight is overdue: it has been running for
   * longer than {@link HedgingPolicy#slowAfterMillis}. Makes selection avoid an endpoint that hangs
   * before the attempts at it time out.
   */
  private static double overdueCostMillis(EndpointStatistics endpoint, double now) {
    Attempt oldestAttempt = endpoint.oldestInFlight();
    if (oldestAttempt == null) {
      return 0;
    }
    double overdueMillis =
        now - oldestAttempt.sentAtMillis() - HedgingPolicy.slowAfterMillis(oldestAttempt.request());
    return COST_PER_OVERDUE_MILLI * Math.max(0, overdueMillis);
  }

  /**
   * Raises the cost of an endpoint as its queueing delay approaches the latency objective, enough
   * to offset the cross-zone penalty. Without it, all requests would stay in an overloaded zone
   * while the endpoints of other zones are idle.
   */
  private double queueingFactor(EndpointStatistics endpoint, InFlightRequest request) {
    double delayToObjectiveRatio =
        queueingDelayMillis(endpoint, request) / request.requestClass().latencyObjectiveMillis();
    return 1 + crossZonePenalty * Math.pow(delayToObjectiveRatio, CROSS_ZONE_OFFSET_EXPONENT);
  }

  /**
   * The factor for endpoints outside the subset. While few attempts have been recorded, it keeps
   * attempts in the subset, which needs few connections and soon gives reliable statistics about
   * its endpoints. With many recorded attempts, only the cost of connections remains.
   */
  private double outsideSubsetFactor(double attemptsPerEndpoint) {
    return 1 + OUTSIDE_SUBSET_PENALTY / Math.pow(1 + attemptsPerEndpoint, 2) + connectionPenalty;
  }

  /**
   * Raises the cost of an endpoint for each restricted placement that includes it and is not the
   * request's own, so that requests that may go elsewhere leave it to those that may not.
   */
  private double withRestrictedPlacementPenalty(
      double cost, EndpointStatistics endpoint, InFlightRequest request) {
    double increased = cost;
    for (PlacementGroup group : placementGroups) {
      if (group != request.classStatistics().placementGroup()
          && group.isRestricted()
          && group.allows(endpoint.listedEndpoint())) {
        increased *=
            1
                + RESTRICTED_PLACEMENT_PENALTY_FACTOR
                    * (RESTRICTED_PLACEMENT_BASE_LEVEL + group.overload().level());
      }
    }
    return increased;
  }

  /**
   * Estimates the latency of a request that is sent behind the attempts in flight, by Little's law:
   * the latency of served attempts, divided by the concurrency when they were sent, gives the time
   * that the endpoint needs for each. The estimate rises before any attempt is late.
   */
  static double queueingDelayMillis(EndpointStatistics endpoint, InFlightRequest request) {
    double millisPerAttempt =
        endpoint.relativeLatency()
            * request.expectedLatencyMillis()
            / (1 + Math.max(MIN_CONCURRENCY, endpoint.meanConcurrency()));
    return millisPerAttempt * (1 + endpoint.inFlightCount());
  }
}
