package loadbalancer.policy;

/** The value of serving the requests of a class, and the work that they need. */
final class RequestClassValue {

  /**
   * Added to the traffic share of each class, and the least share of requests that load shedding
   * divides by: no ratio of shares, work or value has a divisor of 0.
   */
  static final double MIN_SHARE = 1e-6;

  private final boolean priorityByWork;

  /**
   * @param priorityByWork whether priority weights count per unit of work and not per request
   */
  RequestClassValue(boolean priorityByWork) {
    this.priorityByWork = priorityByWork;
  }

  /**
   * The work that the requests of the class need, in milliseconds per arriving request of any
   * class: its traffic share times its mean cost, or times its expected latency if its requests
   * carry no cost estimate.
   */
  double work(RequestClassStatistics classStatistics) {
    double meanCost = classStatistics.meanCostMillis();
    return (classStatistics.trafficShare() + MIN_SHARE)
        * (meanCost > 0 ? meanCost : classStatistics.latencyMillis());
  }

  /**
   * The value of serving the requests of the class, in units of priority weight, per arriving
   * request of any class.
   */
  double value(RequestClassStatistics classStatistics) {
    return classStatistics.requestClass().priorityWeight()
        * (priorityByWork ? work(classStatistics) : classStatistics.trafficShare() + MIN_SHARE);
  }

  /** The value per millisecond of work. */
  double valuePerWork(RequestClassStatistics classStatistics) {
    return value(classStatistics) / work(classStatistics);
  }
}
