package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.model.Endpoint;
import loadbalancer.model.PolicySettings;

/**
 * Limits the attempts that are sent to endpoints while they warm up. Such an endpoint collapses
 * under a load of {@link loadbalancer.model.RuleSettings#collapseMultiple()} times its present
 * capacity.
 *
 * <p>Budget: each arriving request sets the budget of every warming endpoint that it may go to, as
 * a fraction of an attempt: its warm-up fraction x the collapse multiple x {@link
 * #COLLAPSE_BUDGET_SHARE} / the sum of the warm-up fractions of all endpoints that the request may
 * go to. The budget replaces that of the previous request and does not add to it: otherwise many
 * instances would spend what they have saved on one endpoint at once when the others fail. It is
 * granted for each request that arrives and not for each attempt, so that endpoints get attempts
 * even if all of them start at once.
 *
 * <p>Systematic sampling: an endpoint accumulates the probabilities with which it would have been
 * selected, and is sent an attempt when the sum reaches 1. Its load then depends on the traffic of
 * all instances together and not on their number.
 */
final class SlowStart {

  /**
   * Share, 0 to 1, of the load at which an endpoint collapses that its budget allows when the
   * arriving requests need the full present capacity of all endpoints.
   */
  private static final double COLLAPSE_BUDGET_SHARE = 0.3;

  /**
   * The budgets are divided by the present capacity of the endpoints that the request may go to.
   * For this capacity there is a lower bound: the capacity of the same endpoints once warm / this
   * constant. The bound limits the budgets while all endpoints are warming up.
   */
  private static final double WARM_CAPACITY_DIVISOR = 2.0;

  /**
   * Halves the increase of the budgets within the subset: an instance with most of the traffic
   * would otherwise overload the warming endpoints of its subset.
   */
  private static final double SUBSET_BUDGET_INCREASE_DIVISOR = 2.0;

  private final PolicySettings settings;
  private double warmUpEndsAtMillis = Double.NEGATIVE_INFINITY;

  SlowStart(PolicySettings settings) {
    this.settings = settings;
  }

  /** Keeps slow start active at least until the end of the warm-up of a newly listed endpoint. */
  void endpointAdded(Endpoint endpoint) {
    if (endpoint.startedAtMillis() != 0) {
      warmUpEndsAtMillis =
          Math.max(
              warmUpEndsAtMillis, endpoint.startedAtMillis() + settings.rules().warmUpMillis());
    }
  }

  /** Whether any endpoint may still be warming up. */
  boolean isActive(double now) {
    return now < warmUpEndsAtMillis;
  }

  /**
   * The present capacity of an endpoint as a share, 0 to 1, of its capacity once warm. It grows
   * linearly over the warm-up and is 1 if the start of the endpoint is unknown or long ago.
   */
  double warmUpFraction(EndpointStatistics endpoint, double now) {
    double startedAtMillis = endpoint.listedEndpoint().startedAtMillis();
    double uptimeMillis = now - startedAtMillis;
    if (startedAtMillis == 0 || uptimeMillis >= settings.rules().warmUpMillis()) {
      return 1;
    }
    double initialFraction = settings.rules().initialCapacity();
    return initialFraction
        + (1 - initialFraction) * Math.max(0, uptimeMillis) / settings.rules().warmUpMillis();
  }

  /**
   * The sum of selection probabilities, 0 to 1, that a new endpoint begins with. It is sent an
   * attempt when the sum reaches 1, see the class comment. The values of the instances are evenly
   * spaced, from an offset that depends on the endpoint ID, so that the instances do not all send
   * their first attempt at once.
   */
  double initialAccumulatedProbability(Endpoint endpoint) {
    double unwrapped =
        new SplittableRandom(endpoint.id()).nextDouble()
            + (double) settings.instanceIndex() / Math.max(1, settings.instanceCount());
    return unwrapped % 1;
  }

  /**
   * Sets the budgets of the endpoints that an arriving request may go to. A budget is the fraction
   * of an attempt that a warming endpoint may get until the next request arrives and replaces it.
   * If the instance prefers a subset, the budgets are raised within it and lowered outside, where
   * they would mostly go unused; the sum of an endpoint's budgets over all instances is unchanged.
   */
  void grantBudget(
      InFlightRequest request,
      List<EndpointStatistics> readyEndpoints,
      int subsetStride,
      double now) {
    if (!isActive(now)) {
      return;
    }
    List<EndpointStatistics> allowed =
        readyEndpoints.stream()
            .filter(endpoint -> request.requestClass().allows(endpoint.listedEndpoint()))
            .toList();
    double presentCapacity =
        allowed.stream().mapToDouble(endpoint -> warmUpFraction(endpoint, now)).sum();
    double budgetPerCapacity =
        Math.min(1, COLLAPSE_BUDGET_SHARE * settings.rules().collapseMultiple())
            / Math.max(presentCapacity, allowed.size() / WARM_CAPACITY_DIVISOR);
    double insideFactor =
        1
            + (Math.min(subsetStride, settings.instanceCount()) - 1)
                / SUBSET_BUDGET_INCREASE_DIVISOR
                * presentCapacity
                / allowed.size();
    double outsideFactor = (subsetStride - insideFactor) / Math.max(1, subsetStride - 1);
    allowed.forEach(
        endpoint ->
            endpoint.setWarmUpBudget(
                budgetPerCapacity
                    * warmUpFraction(endpoint, now)
                    * (endpoint.isInSubset() ? insideFactor : outsideFactor)));
  }

  /**
   * Excludes the warming endpoints from the random selection by setting their weight to 0. Each
   * accumulates the probability with which it would have been selected, but at most its budget.
   *
   * @return the endpoint with the highest accumulated probability, if that has reached 1; otherwise
   *     null
   */
  EndpointStatistics select(List<EndpointStatistics> readyEndpoints, double now) {
    List<EndpointStatistics> warming = new ArrayList<>(readyEndpoints);
    warming.removeIf(endpoint -> endpoint.weight() == 0 || warmUpFraction(endpoint, now) >= 1);
    double probabilityPerWeight = spendExceededBudgets(warming, readyEndpoints);
    for (EndpointStatistics endpoint : warming) {
      endpoint.spendWarmUpBudget(
          endpoint.weight() > 0 ? probabilityPerWeight * endpoint.weight() : 0);
    }
    EndpointStatistics dueEndpoint =
        warming.stream()
            .filter(endpoint -> endpoint.accumulatedProbability() >= 1)
            .max(Comparator.comparingDouble(EndpointStatistics::accumulatedProbability))
            .orElse(null);
    if (dueEndpoint != null) {
      dueEndpoint.subtractAttempt();
    }
    return dueEndpoint;
  }

  /**
   * Spends the whole budget of each warming endpoint whose selection probability exceeds it, and
   * excludes it from the selection. That raises the probabilities of the others, so it is repeated
   * until no further endpoint exceeds its budget.
   *
   * @return the selection probability of the remaining endpoints for each unit of weight
   */
  private static double spendExceededBudgets(
      List<EndpointStatistics> warming, List<EndpointStatistics> readyEndpoints) {
    double remainingProbability = 1;
    double probabilityPerWeight;
    boolean excludedAny;
    do {
      probabilityPerWeight =
          remainingProbability
              / readyEndpoints.stream().mapToDouble(EndpointStatistics::weight).sum();
      excludedAny = false;
      for (EndpointStatistics endpoint : warming) {
        if (endpoint.warmUpBudget() < probabilityPerWeight * endpoint.weight()) {
          remainingProbability = Math.max(0, remainingProbability - endpoint.warmUpBudget());
          endpoint.spendWarmUpBudget(endpoint.warmUpBudget());
          excludedAny = true;
        }
      }
    } while (excludedAny);
    return probabilityPerWeight;
  }
}
