package loadbalancer.policy;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Distributes the work to reject over the request classes of a placement group at the least loss of
 * value.
 *
 * <p>Classes with less value per unit of work are rejected first. Because part of the service's
 * score depends only on its worst served class, several upper bounds of the rejected share of a
 * class are tried, and the plan with the smallest loss is used.
 */
final class SheddingPlan {

  /** Number of upper bounds that are tried: 1/10, 2/10 ... 1. */
  private static final int MAX_SHARE_STEPS = 10;

  /**
   * The group's total work divided by this is the work that a plan may leave unassigned, to allow
   * for rounding errors.
   */
  private static final double TOTAL_WORK_TOLERANCE_DIVISOR = 1_000;

  private final RequestClassValue classValue;
  private final double worstClassWeight;

  /**
   * @param worstClassWeight share of the score, 0 to 1, that depends on the worst served class
   */
  SheddingPlan(RequestClassValue classValue, double worstClassWeight) {
    this.classValue = classValue;
    this.worstClassWeight = worstClassWeight;
  }

  /** Sets the rejected share of each class of the group. */
  void update(PlacementGroup group) {
    RequestClassStatistics[] leastValuableFirst =
        Arrays.stream(group.classes())
            .sorted(Comparator.comparingDouble(classValue::valuePerWork))
            .toArray(RequestClassStatistics[]::new);
    double totalWork = Arrays.stream(leastValuableFirst).mapToDouble(classValue::work).sum();
    double totalValue = Arrays.stream(leastValuableFirst).mapToDouble(classValue::value).sum();
    double[] rejectedShares = new double[leastValuableFirst.length];
    double leastLoss = Double.MAX_VALUE;
    for (int step = 1; step <= MAX_SHARE_STEPS; step++) {
      double maxShare = (double) step / MAX_SHARE_STEPS;
      double unassignedWork = group.overload().rejectedShare() * totalWork;
      double loss = worstClassWeight * maxShare;
      for (int i = 0; i < rejectedShares.length; i++) {
        double classWork = classValue.work(leastValuableFirst[i]);
        rejectedShares[i] = Math.min(maxShare, unassignedWork / classWork);
        unassignedWork -= rejectedShares[i] * classWork;
        loss +=
            (1 - worstClassWeight)
                * rejectedShares[i]
                * classValue.value(leastValuableFirst[i])
                / totalValue;
      }
      if (unassignedWork < totalWork / TOTAL_WORK_TOLERANCE_DIVISOR && loss < leastLoss) {
        leastLoss = loss;
        setRejectedShares(rejectedShares, leastValuableFirst);
      }
    }
  }

  private static void setRejectedShares(double[] rejectedShares, RequestClassStatistics[] classes) {
    for (int i = 0; i < rejectedShares.length; i++) {
      classes[i].setRejectedShare(rejectedShares[i]);
    }
  }
}
