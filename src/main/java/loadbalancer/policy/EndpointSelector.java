package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Chooses the endpoint of an attempt: weighted random choice by 1/{@link EndpointCost} among the
 * eligible endpoints whose queueing delay is within the {@link QueueingLimit}.
 */
final class EndpointSelector {

  private final EndpointEligibility eligibility;
  private final EndpointCost cost;
  private final QueueingLimit queueingLimit;
  private final SlowStart slowStart;
  private final SplittableRandom random;
  private boolean queueingLimitReached;

  /** From the selection before: decayed attempts for each ready endpoint. */
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

  /** Whether the last selection left out an endpoint for its queueing delay. */
  boolean queueingLimitReached() {
    return queueingLimitReached;
  }

  /**
   * The endpoint for the next attempt of a request, or null if none may be used. One that it has
   * tried is chosen only if there is no other and no attempt is running.
   */
  EndpointStatistics select(InFlightRequest request, List<EndpointStatistics> ready, double now) {
    EndpointStatistics selected = select(request, ready, true, now);
    return selected == null && !request.hasRunningAttempt()
        ? select(request, ready, false, now)
        : selected;
  }

  private EndpointStatistics select(
      InFlightRequest request, List<EndpointStatistics> ready, boolean untriedOnly, double now) {
    weigh(request, ready, untriedOnly, now);
    EndpointStatistics warming = slowStart.isActive(now) ? slowStart.select(ready, now) : null;
    if (warming != null) {
      return warming;
    }
    double totalWeight = ready.stream().mapToDouble(EndpointStatistics::weight).sum();
    return draw(ready, random.nextDouble() * totalWeight);
  }

  /** Sets the weight of each endpoint: 1/cost, or 0 if it may not be used. */
  private void weigh(
      InFlightRequest request, List<EndpointStatistics> ready, boolean untriedOnly, double now) {
    queueingLimitReached = false;
    double maxDelayMillis = queueingLimit.maxDelayMillis(request, now);
    double attempts = 0;
    for (EndpointStatistics endpoint : ready) {
      attempts += endpoint.attempts();
      boolean usable =
          eligibility.mayReceive(endpoint, request, now)
              && !(untriedOnly && request.hasTried(endpoint));
      boolean overLimit =
          usable && EndpointCost.queueingDelayMillis(endpoint, request) > maxDelayMillis;
      queueingLimitReached |= overLimit;
      endpoint.setWeight(
          usable && !overLimit
              ? 1 / cost.costMillis(endpoint, request, attemptsPerEndpoint, now)
              : 0);
    }
    attemptsPerEndpoint = attempts / Math.max(1, ready.size());
  }

  /** The endpoint in whose part of the summed weights a point lies; null if all weights are 0. */
  private static EndpointStatistics draw(List<EndpointStatistics> ready, double point) {
    EndpointStatistics drawn = null;
    double remaining = point;
    for (EndpointStatistics endpoint : ready) {
      if (endpoint.weight() > 0 && remaining >= 0) {
        drawn = endpoint;
        remaining -= endpoint.weight();
      }
    }
    return drawn;
  }
}
