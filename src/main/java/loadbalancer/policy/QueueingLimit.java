package loadbalancer.policy;

/**
 * The estimated queueing delay above which a request is not sent to an endpoint. Without this
 * limit, after a loss of endpoints, the others would get all requests and spend their capacity on
 * responses that come too late.
 *
 * <p>It applies only in the tier that clients reach directly. A rejection in a later tier would
 * waste the work that the earlier tiers have already done for the request.
 */
final class QueueingLimit {

  /**
   * Share of its remaining time that a request may spend in a queue if its class has no value. The
   * limit rises linearly with the value per work, up to all of the time for the most valuable
   * class.
   */
  private static final double MIN_REMAINING_TIME_SHARE = 0.5;

  private final int tier;
  private final RequestClassStatistics[] classes;
  private final RequestClassValue value;

  QueueingLimit(int tier, RequestClassStatistics[] classes, RequestClassValue value) {
    this.tier = tier;
    this.classes = classes;
    this.value = value;
  }

  /**
   * The longest queueing delay, in milliseconds, at which the request may be sent: a share of the
   * time left in which its response is useful. Unlimited in the later tiers.
   */
  double maxDelayMillis(InFlightRequest request, double now) {
    if (tier > AdmissionController.CLIENT_FACING_TIER) {
      return Double.MAX_VALUE;
    }
    double maxValuePerWork = 0;
    for (RequestClassStatistics classStatistics : classes) {
      maxValuePerWork = Math.max(maxValuePerWork, value.valuePerWork(classStatistics));
    }
    double relativeValue = value.valuePerWork(request.classStatistics()) / maxValuePerWork;
    return (MIN_REMAINING_TIME_SHARE + (1 - MIN_REMAINING_TIME_SHARE) * relativeValue)
        * (request.usefulUntilMillis() - now);
  }
}
