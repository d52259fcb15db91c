package loadbalancer.policy;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Divides the work to reject among the classes of a placement group at the least loss of value.
 *
 * <p>The classes with the least value per work are rejected first. As part of the result depends on
 * the worst served class alone, several limits to the rejected share of one class are tried, and
 * the plan with the least loss is kept.
 */
final class SheddingPlan {

  /** Limits tried: 1/10, 2/10 ... 1. */
  private static final int LIMIT_STEPS = 10;

  /** A plan may leave one part in so many of the group's work over, for rounding. */
  private static final double UNPLANNED_WORK_DIVISOR = 1_000;

  private final RequestClassValue value;
  private final double worstClassWeight;

  /**
   * @param worstClassWeight share of the result, 0 to 1, that depends on the worst served class
   */
  SheddingPlan(RequestClassValue value, double worstClassWeight) {
    this.value = value;
    this.worstClassWeight = worstClassWeight;
  }

  /** Sets the rejected share of each class of the group. */
  void update(PlacementGroup group) {
    RequestClassStatistics[] cheapestFirst =
        Arrays.stream(group.classes())
            .sorted(Comparator.comparingDouble(value::valuePerWork))
            .toArray(RequestClassStatistics[]::new);
    double totalWork = Arrays.stream(cheapestFirst).mapToDouble(value::work).sum();
    double totalValue = Arrays.stream(cheapestFirst).mapToDouble(value::value).sum();
    double[] shares = new double[cheapestFirst.length];
    double leastLoss = Double.MAX_VALUE;
    for (int step = 1; step <= LIMIT_STEPS; step++) {
      double limit = (double) step / LIMIT_STEPS;
      double remainingWork = group.overload().rejectedShare() * totalWork;
      double loss = worstClassWeight * limit;
      for (int i = 0; i < shares.length; i++) {
        double work = value.work(cheapestFirst[i]);
        shares[i] = Math.min(limit, remainingWork / work);
        remainingWork -= shares[i] * work;
        loss += (1 - worstClassWeight) * shares[i] * value.value(cheapestFirst[i]) / totalValue;
      }
      if (remainingWork < totalWork / UNPLANNED_WORK_DIVISOR && loss < leastLoss) {
        leastLoss = loss;
        apply(shares, cheapestFirst);
      }
    }
  }

  private static void apply(double[] shares, RequestClassStatistics[] classes) {
    for (int i = 0; i < shares.length; i++) {
      classes[i].setRejectedShare(shares[i]);
    }
  }
}
