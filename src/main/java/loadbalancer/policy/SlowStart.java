package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.model.Endpoint;
import loadbalancer.model.PolicySettings;

/**
 * Limits what warming endpoints are sent: they collapse at a multiple of their present capacity.
 *
 * <p>Budget: every arriving request gives each warming endpoint that it may go to a fraction of an
 * attempt, warmUpFraction x collapse multiple x {@link #COLLAPSE_BUDGET_SHARE} / warm capacity. It
 * replaces the budget before, since budgets saved by many instances would be spent on one endpoint
 * at once when others fail. Arrivals count, not attempts: endpoints that all start at once get
 * some.
 *
 * <p>Systematic sampling: the probabilities with which an endpoint would have been selected add up,
 * and it gets an attempt when they reach 1. Its load then depends on the traffic of all instances
 * and not on how many they are.
 */
final class SlowStart {

  /** Share of the multiple at which an endpoint collapses that its budget uses. */
  private static final double COLLAPSE_BUDGET_SHARE = 0.3;

  /** At least open endpoints / this count as warm, which limits the budget when none is. */
  private static final double MIN_WARM_DIVISOR = 2.0;

  /** Halves the shift of budget into the subset, as one instance may have most of the traffic. */
  private static final double SUBSET_SHIFT_DIVISOR = 2.0;

  private final PolicySettings settings;
  private double warmUpEndsAtMillis = Double.NEGATIVE_INFINITY;

  SlowStart(PolicySettings settings) {
    this.settings = settings;
  }

  /** An endpoint is listed that has started at a known time. */
  void endpointStarted(Endpoint endpoint) {
    if (endpoint.startedAtMillis() != 0) {
      warmUpEndsAtMillis =
          Math.max(
              warmUpEndsAtMillis, endpoint.startedAtMillis() + settings.rules().warmUpMillis());
    }
  }

  /** Whether an endpoint may be warming up. */
  boolean isActive(double now) {
    return now < warmUpEndsAtMillis;
  }

  /** The share of its capacity, 0 to 1, that an endpoint has; it grows evenly over the warm-up. */
  double warmUpFraction(EndpointStatistics endpoint, double now) {
    double startedAt = endpoint.listedEndpoint().startedAtMillis();
    double age = now - startedAt;
    if (startedAt == 0 || age >= settings.rules().warmUpMillis()) {
      return 1;
    }
    double initial = settings.rules().initialCapacity();
    return initial + (1 - initial) * Math.max(0, age) / settings.rules().warmUpMillis();
  }

  /**
   * The accumulated probability that a new endpoint begins with, 0 to 1: evenly spaced over the
   * instances, so that they do not all send to it at once.
   */
  double initialAccumulatedProbability(Endpoint endpoint) {
    double first =
        new SplittableRandom(endpoint.id()).nextDouble()
            + (double) settings.instanceIndex() / Math.max(1, settings.instanceCount());
    return first % 1;
  }

  /**
   * Sets the budget of the endpoints that an arriving request may go to. Where the instance prefers
   * a subset, part of the budget moves into it, as the rest would lapse; over all instances the sum
   * is the same.
   */
  void grantBudget(
      InFlightRequest request, List<EndpointStatistics> ready, int subsetStride, double now) {
    if (!isActive(now)) {
      return;
    }
    List<EndpointStatistics> open =
        ready.stream()
            .filter(endpoint -> request.requestClass().allows(endpoint.listedEndpoint()))
            .toList();
    double warm = open.stream().mapToDouble(endpoint -> warmUpFraction(endpoint, now)).sum();
    double part =
        Math.min(1, COLLAPSE_BUDGET_SHARE * settings.rules().collapseMultiple())
            / Math.max(warm, open.size() / MIN_WARM_DIVISOR);
    double inside =
        1
            + (Math.min(subsetStride, settings.instanceCount()) - 1)
                / SUBSET_SHIFT_DIVISOR
                * warm
                / open.size();
    double outside = (subsetStride - inside) / Math.max(1, subsetStride - 1);
    open.forEach(
        endpoint ->
            endpoint.setWarmUpBudget(
                part * warmUpFraction(endpoint, now) * (endpoint.isInSubset() ? inside : outside)));
  }

  /**
   * Takes the warming endpoints out of a selection. Each accumulates its probability, which is in
   * proportion to its weight but at most its budget.
   *
   * @return the endpoint whose accumulated probability has reached 1, the highest one; or null
   */
  EndpointStatistics select(List<EndpointStatistics> ready, double now) {
    List<EndpointStatistics> warming = new ArrayList<>(ready);
    warming.removeIf(endpoint -> endpoint.weight() == 0 || warmUpFraction(endpoint, now) >= 1);
    double probabilityPerWeight = spendWithinBudgets(warming, ready);
    for (EndpointStatistics endpoint : warming) {
      endpoint.spendWarmUpBudget(
          endpoint.weight() > 0 ? probabilityPerWeight * endpoint.weight() : 0);
    }
    EndpointStatistics due =
        warming.stream()
            .filter(endpoint -> endpoint.accumulatedProbability() >= 1)
            .max(Comparator.comparingDouble(EndpointStatistics::accumulatedProbability))
            .orElse(null);
    if (due != null) {
      due.subtractAttempt();
    }
    return due;
  }

  /**
   * Takes out the endpoints whose budget is less than their probability, until none is left.
   *
   * @return the probability for each unit of weight that is left to the others
   */
  private static double spendWithinBudgets(
      List<EndpointStatistics> warming, List<EndpointStatistics> ready) {
    double remaining = 1;
    double probabilityPerWeight;
    boolean limited;
    do {
      probabilityPerWeight =
          remaining / ready.stream().mapToDouble(EndpointStatistics::weight).sum();
      limited = false;
      for (EndpointStatistics endpoint : warming) {
        if (endpoint.warmUpBudget() < probabilityPerWeight * endpoint.weight()) {
          remaining = Math.max(0, remaining - endpoint.warmUpBudget());
          endpoint.spendWarmUpBudget(endpoint.warmUpBudget());
          limited = true;
        }
      }
    } while (limited);
    return probabilityPerWeight;
  }
}
