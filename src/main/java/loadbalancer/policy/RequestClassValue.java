package loadbalancer.policy;

/** The value of serving the arriving requests of a class, and the work that they need. */
final class RequestClassValue {

  /** Least traffic share that a class is reckoned with: keeps ratios finite. */
  static final double MIN_SHARE = 1e-6;

  private final boolean priorityByWork;

  /**
   * @param priorityByWork whether priority weights count per unit of work and not per request
   */
  RequestClassValue(boolean priorityByWork) {
    this.priorityByWork = priorityByWork;
  }

  /** Work that the class asks for, in milliseconds per arriving request of any class. */
  double work(RequestClassStatistics type) {
    double meanCost = type.meanCostMillis();
    return (type.trafficShare() + MIN_SHARE) * (meanCost > 0 ? meanCost : type.latencyMillis());
  }

  /** Value of serving the class, in units of priority weight. */
  double value(RequestClassStatistics type) {
    return type.requestClass().priorityWeight()
        * (priorityByWork ? work(type) : type.trafficShare() + MIN_SHARE);
  }

  double valuePerWork(RequestClassStatistics type) {
    return value(type) / work(type);
  }
}
