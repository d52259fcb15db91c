package loadbalancer.policy;

import loadbalancer.model.PolicySettings;

/**
 * The cost of sending a request to an endpoint, in milliseconds: its expected latency, to which
 * failures and overdue attempts are added, times a factor for each other reason to avoid it.
 * Endpoints are chosen in proportion to 1/cost.
 */
final class EndpointCost {

  /** Least success rate reckoned with: a failing endpoint still gets an attempt now and then. */
  private static final double MIN_SUCCESS_RATE = 0.05;

  /** Growth for each attempt in flight, as a new one waits behind them. */
  private static final double IN_FLIGHT_GROWTH = 1.4;

  /** Added for each millisecond that the oldest attempt is overdue. */
  private static final double OVERDUE_WEIGHT = 4;

  /**
   * Growth for a remote zone, for the square root of its cost; finite, so that it stays selectable.
   */
  private static final double CROSS_ZONE_GROWTH = 400;

  /** Steep: half of the limit on delay or failure rate hardly offsets the cross-zone penalty. */
  private static final double CROSS_ZONE_OFFSET_POWER = 4;

  /** Failure rate that offsets the cross-zone penalty. */
  private static final double CROSS_ZONE_FAILURE_RATE = 0.4;

  /** Bound of that offset: a failing endpoint still gets attempts that show its recovery. */
  private static final double MAX_FAILURE_OFFSET = 16;

  /** Attempts that an endpoint is taken to serve at once, whatever was seen. */
  private static final double MIN_CONCURRENCY = 4;

  /** Growth outside the subset without evidence; falls as the endpoints become known. */
  private static final double OUTSIDE_SUBSET_GROWTH = 60;

  /** Growth outside the subset for each point that connections cost. */
  private static final double CONNECTION_COST_GROWTH = 200;

  /** Growth with the overload level of requests that can go nowhere else. */
  private static final double RESTRICTED_GROWTH = 40;

  /** Overload level reckoned with for those even when there is no overload. */
  private static final double MIN_RESTRICTED_LEVEL = HedgingPolicy.OVERLOAD_LIMIT / 2;

  private final PlacementGroup[] placementGroups;
  private final SlowStart slowStart;
  private final int zone;
  private final double crossZonePenalty;
  private final double connectionPenalty;

  EndpointCost(PolicySettings settings, PlacementGroup[] placementGroups, SlowStart slowStart) {
    this.placementGroups = placementGroups;
    this.slowStart = slowStart;
    this.zone = settings.zone();
    this.crossZonePenalty = CROSS_ZONE_GROWTH * Math.sqrt(settings.costs().crossZoneCost());
    this.connectionPenalty =
        CONNECTION_COST_GROWTH
            * (settings.costs().connectionCost() + settings.costs().handshakeCost());
  }

  /**
   * The cost of an endpoint for a request.
   *
   * @param attemptsPerEndpoint decayed attempts that this instance knows for each ready endpoint
   */
  double costMillis(
      EndpointStatistics endpoint,
      InFlightRequest request,
      double attemptsPerEndpoint,
      double now) {
    endpoint.decay(now);
    double successRate = endpoint.successRate(request.statistics().index());
    double cost = latencyWithFailuresMillis(endpoint, request, successRate);
    cost *= failureFactor(successRate);
    cost *= 1 + IN_FLIGHT_GROWTH * endpoint.inFlightCount();
    cost += overdueMillis(endpoint, now);
    cost *= queueingFactor(endpoint, request);
    if (endpoint.listedEndpoint().zone() != zone) {
      cost *= 1 + crossZonePenalty;
    }
    if (!endpoint.isInSubset()) {
      cost *= outsideSubsetFactor(attemptsPerEndpoint);
    }
    cost = spareForRestrictedClasses(cost, endpoint, request);
    return cost / slowStart.warmUpFraction(endpoint, now);
  }

  /** Expected latency, and the objective for each failure to expect before an attempt succeeds. */
  private static double latencyWithFailuresMillis(
      EndpointStatistics endpoint, InFlightRequest request, double successRate) {
    return endpoint.relativeLatency() * request.statistics().latencyMillis()
        + request.requestClass().latencyObjectiveMillis()
            * (1 / Math.max(MIN_SUCCESS_RATE, successRate) - 1);
  }

  /**
   * Offsets the cross-zone penalty for a failing endpoint: it fails at once and has nothing in
   * flight, so it would look idle. A failure or two is not enough.
   */
  private double failureFactor(double successRate) {
    return 1
        + crossZonePenalty
            * Math.min(
                MAX_FAILURE_OFFSET,
                Math.pow((1 - successRate) / CROSS_ZONE_FAILURE_RATE, CROSS_ZONE_OFFSET_POWER));
  }

  /** Shows a hang before its attempts time out. */
  private static double overdueMillis(EndpointStatistics endpoint, double now) {
    Attempt oldest = endpoint.oldestInFlight();
    if (oldest == null) {
      return 0;
    }
    double overdue = now - oldest.sentAtMillis() - HedgingPolicy.slowAfterMillis(oldest.request());
    return OVERDUE_WEIGHT * Math.max(0, overdue);
  }

  /**
   * Offsets the cross-zone penalty where a request would be late from queueing: otherwise all stay
   * in a zone that is overloaded while others are idle.
   */
  private double queueingFactor(EndpointStatistics endpoint, InFlightRequest request) {
    double objectiveShare =
        queueingDelayMillis(endpoint, request) / request.requestClass().latencyObjectiveMillis();
    return 1 + crossZonePenalty * Math.pow(objectiveShare, CROSS_ZONE_OFFSET_POWER);
  }

  /** Few connections and much evidence for each: attempts keep to the subset at first. */
  private double outsideSubsetFactor(double attemptsPerEndpoint) {
    return 1 + OUTSIDE_SUBSET_GROWTH / Math.pow(1 + attemptsPerEndpoint, 2) + connectionPenalty;
  }

  /** Requests that may go elsewhere make room for those of a restricted placement. */
  private double spareForRestrictedClasses(
      double cost, EndpointStatistics endpoint, InFlightRequest request) {
    double increased = cost;
    for (PlacementGroup group : placementGroups) {
      if (group != request.statistics().placementGroup()
          && group.isRestricted()
          && group.allows(endpoint.listedEndpoint())) {
        increased *= 1 + RESTRICTED_GROWTH * (MIN_RESTRICTED_LEVEL + group.overload().level());
      }
    }
    return increased;
  }

  /**
   * The latency to expect behind the attempts in flight, by Little's law: served latencies and the
   * concurrency at their send tell the rate at which the endpoint works. It rises before any
   * attempt is late.
   */
  static double queueingDelayMillis(EndpointStatistics endpoint, InFlightRequest request) {
    double millisEach =
        endpoint.relativeLatency()
            * request.expectedLatencyMillis()
            / (1 + Math.max(MIN_CONCURRENCY, endpoint.meanConcurrency()));
    return millisEach * (1 + endpoint.inFlightCount());
  }
}
