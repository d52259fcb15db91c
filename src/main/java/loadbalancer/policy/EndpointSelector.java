package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Selects the endpoint of an attempt at random among the eligible endpoints whose estimated
 * queueing delay is within the {@link QueueingLimit}, with weights of 1/{@link EndpointCost}.
 * Endpoints that are warming up get their attempts from {@link SlowStart} instead.
 */
final class EndpointSelector {

  private final EndpointEligibility eligibility;
  private final EndpointCost cost;
  private final QueueingLimit queueingLimit;
  private final SlowStart slowStart;
  private final SplittableRandom random;
  private boolean queueingLimitReached;

  /**
   * Mean of {@link EndpointStatistics#attempts()} over the ready endpoints, as of the previous
   * selection.
   */
  private double attemptsPerEndpoint;

  EndpointSelector(
      EndpointEligibility eligibility,
      EndpointCost cost,
      QueueingLimit queueingLimit,
      SlowStart slowStart,
      SplittableRandom random) {
    this.eligibility = eligibility;
    this.cost = cost;
    this.queueingLimit = queueingLimit;
    this.slowStart = slowStart;
    this.random = random;
  }

  /** Whether the last selection excluded an eligible endpoint because of its queueing delay. */
  boolean queueingLimitReached() {
    return queueingLimitReached;
  }

  /**
   * Selects the endpoint for the next attempt of a request; null if none may be used. An endpoint
   * that the request has already tried is selected only if there is no other and no attempt of the
   * request is running.
   */
  EndpointStatistics select(
      InFlightRequest request, List<EndpointStatistics> readyEndpoints, double now) {
    EndpointStatistics selected = select(request, readyEndpoints, true, now);
    return selected == null && !request.hasRunningAttempt()
        ? select(request, readyEndpoints, false, now)
        : selected;
  }

  /**
   * Selects the warming endpoint that {@link SlowStart#select} returns or, if it returns none, an
   * endpoint at random by weight; null if no weight is above 0.
   */
  private EndpointStatistics select(
      InFlightRequest request,
      List<EndpointStatistics> readyEndpoints,
      boolean untriedOnly,
      double now) {
    assignWeights(request, readyEndpoints, untriedOnly, now);
    EndpointStatistics warmingEndpoint =
        slowStart.isActive(now) ? slowStart.select(readyEndpoints, now) : null;
    if (warmingEndpoint != null) {
      return warmingEndpoint;
    }
    double totalWeight = readyEndpoints.stream().mapToDouble(EndpointStatistics::weight).sum();
    return endpointAt(readyEndpoints, random.nextDouble() * totalWeight);
  }

  /** Sets the weight of each endpoint: 1/cost, or 0 if the request may not be sent to it. */
  private void assignWeights(
      InFlightRequest request,
      List<EndpointStatistics> readyEndpoints,
      boolean untriedOnly,
      double now) {
    queueingLimitReached = false;
    double maxDelayMillis = queueingLimit.maxDelayMillis(request, now);
    double totalAttempts = 0;
    for (EndpointStatistics endpoint : readyEndpoints) {
      totalAttempts += endpoint.attempts();
      boolean eligible =
          eligibility.mayReceive(endpoint, request, now)
              && !(untriedOnly && request.hasTried(endpoint));
      boolean overLimit =
          eligible && EndpointCost.queueingDelayMillis(endpoint, request) > maxDelayMillis;
      queueingLimitReached |= overLimit;
      endpoint.setWeight(
          eligible && !overLimit
              ? 1 / cost.costMillis(endpoint, request, attemptsPerEndpoint, now)
              : 0);
    }
    attemptsPerEndpoint = totalAttempts / Math.max(1, readyEndpoints.size());
  }

  /**
   * The endpoint whose weight, added to those of the endpoints before it, exceeds the given
   * cumulative weight; null if all weights are 0.
   */
  private static EndpointStatistics endpointAt(
      List<EndpointStatistics> readyEndpoints, double cumulativeWeight) {
    EndpointStatistics selected = null;
    double remainingWeight = cumulativeWeight;
    for (EndpointStatistics endpoint : readyEndpoints) {
      if (endpoint.weight() > 0 && remainingWeight >= 0) {
        selected = endpoint;
        remainingWeight -= endpoint.weight();
      }
    }
    return selected;
  }
}
