package loadbalancer.policy;

/**
 * Limits how long a request without any attempt may stay queued, and schedules the selections of an
 * endpoint for it.
 */
final class PendingRequests {

  /** Interval between the endpoint selections for a queued request. */
  static final double SELECTION_INTERVAL_MILLIS = 20;

  /** An attempt is sent only if this share of the expected latency fits into the remaining time. */
  private static final double MIN_REMAINING_LATENCY_SHARE = 0.25;

  /**
   * Longest time in the queue, as a share of the time from arrival to the deadline. The rest is
   * left for the client to retry after a rejection.
   */
  private static final double MAX_QUEUED_TIME_SHARE = 0.45;

  private final PolicyActions actions;

  PendingRequests(PolicyActions actions) {
    this.actions = actions;
  }

  /** The latest time at which it makes sense to send an attempt of this request. */
  static double latestSendMillis(InFlightRequest request) {
    return request.usefulUntilMillis()
        - MIN_REMAINING_LATENCY_SHARE * request.expectedLatencyMillis()
        - KeyedRequestQueue.expectedWaitMillis(request);
  }

  /**
   * Sets until when the request may stay queued: for {@link #MAX_QUEUED_TIME_SHARE} of the time
   * from arrival to deadline, but not past its latest send.
   */
  static void limitQueueTime(InFlightRequest request, double latestSendMillis) {
    double arrivedAtMillis = request.arrivedAtMillis();
    request.setQueuedUntilMillis(
        Math.min(
            latestSendMillis,
            arrivedAtMillis
                + MAX_QUEUED_TIME_SHARE
                    * (request.clientRequest().deadlineMillis() - arrivedAtMillis)));
  }

  /** Whether a request for which no attempt could be sent may stay queued. */
  static boolean mayStayQueued(InFlightRequest request, double now) {
    return now < request.queuedUntilMillis() && request.attempts().isEmpty();
  }

  /**
   * Queues a request and sets its timer. One that waits for earlier requests of its key needs no
   * selection until they release the key, so its timer only ends its time in the queue.
   */
  void queue(InFlightRequest request, boolean firstOfKey, double now) {
    double queuedUntilMillis = request.queuedUntilMillis();
    double timerAtMillis =
        firstOfKey
            ? Math.min(queuedUntilMillis, now + SELECTION_INTERVAL_MILLIS)
            : queuedUntilMillis;
    actions.scheduleTimer(TimerToken.queue(request.id()), timerAtMillis);
  }

  /**
   * Whether an endpoint may be selected for a queued request now; otherwise its timer is set again.
   *
   * <p>If no endpoint can be selected for one request, the same is assumed of the other queued
   * requests of its class until the next interval: a selection for each of hundreds of requests
   * would take too much CPU time.
   */
  boolean maySelect(InFlightRequest request, double now) {
    double selectionAtMillis =
        Math.min(request.classStatistics().nextSelectionAtMillis(), request.queuedUntilMillis());
    if (now < selectionAtMillis) {
      actions.scheduleTimer(TimerToken.queue(request.id()), selectionAtMillis);
      return false;
    }
    return true;
  }

  /** Postpones the selections of a class after one of its queued requests found no endpoint. */
  static void selectionFailed(InFlightRequest request, double now) {
    request.classStatistics().setNextSelectionAtMillis(now + SELECTION_INTERVAL_MILLIS);
  }
}
