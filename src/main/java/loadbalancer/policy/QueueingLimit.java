package loadbalancer.policy;

/**
 * The queueing delay above which a request is not sent to an endpoint: otherwise, when endpoints
 * leave, the rest would get all requests and work on responses that come too late.
 *
 * <p>Only in the tier that clients reach: further down, a rejection would waste the work already
 * done above.
 */
final class QueueingLimit {

  /** Share of its remaining time for a request of no value; the most valuable may use all. */
  private static final double MIN_TIME_SHARE = 0.5;

  private final int tier;
  private final RequestClassStatistics[] classes;
  private final RequestClassValue value;

  QueueingLimit(int tier, RequestClassStatistics[] classes, RequestClassValue value) {
    this.tier = tier;
    this.classes = classes;
    this.value = value;
  }

  /** The longest delay for a request: part of its remaining time, by its value per work. */
  double maxDelayMillis(InFlightRequest request, double now) {
    if (tier > AdmissionController.CLIENT_FACING_TIER) {
      return Double.MAX_VALUE;
    }
    double highest = 0;
    for (RequestClassStatistics type : classes) {
      highest = Math.max(highest, value.valuePerWork(type));
    }
    double relativeValue = value.valuePerWork(request.classStatistics()) / highest;
    return (MIN_TIME_SHARE + (1 - MIN_TIME_SHARE) * relativeValue)
        * (request.usefulUntilMillis() - now);
  }
}
