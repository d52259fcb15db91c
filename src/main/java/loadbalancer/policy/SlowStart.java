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
 * <p>Every request grants the warming endpoints open to it a fraction of an attempt: their share of
 * the warm capacity times the allowed multiple, less a margin. These fractions need no history and
 * add up over the instances. Requests are counted, not attempts, so that endpoints that all start
 * at once begin to be used. A grant replaces the one before: saved grants of many instances would
 * reach an endpoint at once when others fail.
 */
final class SlowStart {

  /** Share of the multiple at which an endpoint collapses that its budget uses. */
  private static final double COLLAPSE_BUDGET_SHARE = 0.3;

  /** One part in so many of the open endpoints counts as warm: limits the grants when none is. */
  private static final double MIN_WARM_DIVISOR = 2.0;

  /** Divides how much of the budget moves into the subset: one instance may have most traffic. */
  private static final double SUBSET_SHIFT_DIVISOR = 2.0;

  private final PolicySettings settings;
  private double warmUpEndsAt = Double.NEGATIVE_INFINITY;

  SlowStart(PolicySettings settings) {
    this.settings = settings;
  }

  /** An endpoint is listed that has started at a known time. */
  void endpointStarted(Endpoint endpoint) {
    if (endpoint.startedAtMillis() != 0) {
      warmUpEndsAt =
          Math.max(warmUpEndsAt, endpoint.startedAtMillis() + settings.rules().warmUpMillis());
    }
  }

  /** Whether an endpoint may be warming up. */
  boolean isActive(double now) {
    return now < warmUpEndsAt;
  }

  /** The share of its capacity, 0 to 1, that an endpoint has; it grows evenly over the warm-up. */
  double warmUpFraction(EndpointStatistics endpoint, double now) {
    double startedAt = endpoint.endpoint().startedAtMillis();
    double age = now - startedAt;
    if (startedAt == 0 || age >= settings.rules().warmUpMillis()) {
      return 1;
    }
    double initial = settings.rules().initialCapacity();
    return initial + (1 - initial) * Math.max(0, age) / settings.rules().warmUpMillis();
  }

  /**
   * The accumulated chance of a new endpoint, 0 to 1: the instances start at even distances, so
   * that their turns do not coincide.
   */
  double firstAccumulatedChance(Endpoint endpoint) {
    double first =
        new SplittableRandom(endpoint.id()).nextDouble()
            + (double) settings.instanceIndex() / Math.max(1, settings.instanceCount());
    return first % 1;
  }

  /**
   * Grants the endpoints open to an arriving request their budget. Where the instance prefers a
   * subset, part of the budget moves into it, as the rest would lapse; over all instances the sum
   * is the same.
   */
  void grantBudget(
      InFlightRequest request, List<EndpointStatistics> ready, int subsetStride, double now) {
    if (!isActive(now)) {
      return;
    }
    List<EndpointStatistics> open =
        ready.stream()
            .filter(endpoint -> request.requestClass().allows(endpoint.endpoint()))
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
   * The part of the warming endpoints in a selection: each has its chance in proportion to its
   * weight, or its budget where that is less, and leaves the selection. Systematic sampling: the
   * chances add up, and an endpoint is selected when they make a whole attempt, so that its load
   * depends on the traffic of all instances and not on their number.
   *
   * @return the endpoint whose turn it is, or null
   */
  EndpointStatistics select(List<EndpointStatistics> ready, double now) {
    List<EndpointStatistics> warming = new ArrayList<>(ready);
    warming.removeIf(endpoint -> endpoint.weight() == 0 || warmUpFraction(endpoint, now) >= 1);
    double chancePerWeight = spendWithinBudgets(warming, ready);
    for (EndpointStatistics endpoint : warming) {
      endpoint.spendWarmUpChance(endpoint.weight() > 0 ? chancePerWeight * endpoint.weight() : 0);
    }
    EndpointStatistics due =
        warming.stream()
            .filter(endpoint -> endpoint.accumulatedChance() >= 1)
            .max(Comparator.comparingDouble(EndpointStatistics::accumulatedChance))
            .orElse(null);
    if (due != null) {
      due.takeTurn();
    }
    return due;
  }

  /**
   * Takes out the endpoints whose budget is less than their chance, until none is left.
   *
   * @return the chance for each unit of weight that the others share
   */
  private static double spendWithinBudgets(
      List<EndpointStatistics> warming, List<EndpointStatistics> ready) {
    double remaining = 1;
    double chancePerWeight;
    boolean limited;
    do {
      chancePerWeight = remaining / ready.stream().mapToDouble(EndpointStatistics::weight).sum();
      limited = false;
      for (EndpointStatistics endpoint : warming) {
        if (endpoint.warmUpBudget() < chancePerWeight * endpoint.weight()) {
          remaining = Math.max(0, remaining - endpoint.warmUpBudget());
          endpoint.spendWarmUpChance(endpoint.warmUpBudget());
          limited = true;
        }
      }
    } while (limited);
    return chancePerWeight;
  }
}
