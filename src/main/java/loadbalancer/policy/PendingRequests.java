package loadbalancer.policy;

/**
 * How long a request that has no attempt yet may stay queued, and when it looks for an endpoint
 * again.
 */
final class PendingRequests {

  /** Time after which a queued request looks for an endpoint again. */
  static final double SELECTION_INTERVAL_MILLIS = 20;

  /** Share of the expected latency that must be left for an attempt to make sense. */
  private static final double MIN_REMAINING_LATENCY_SHARE = 0.25;

  /** Share of its time that a request may stay queued: the rest is left for its client to retry. */
  private static final double MAX_QUEUED_TIME_SHARE = 0.45;

  private final PolicyActions actions;

  PendingRequests(PolicyActions actions) {
    this.actions = actions;
  }

  /** The latest time at which an attempt could still be served in time. */
  static double latestSendMillis(InFlightRequest request) {
    return request.usefulUntilMillis()
        - MIN_REMAINING_LATENCY_SHARE * request.expectedLatencyMillis()
        - KeyedRequestQueue.expectedWaitMillis(request);
  }

  /**
   * Sets until when the request may stay queued: part of its time, and not past the latest send.
   */
  static void limitQueueTime(InFlightRequest request, double latestSendMillis) {
    double arrivedAt = request.arrivedAtMillis();
    request.setQueuedUntilMillis(
        Math.min(
            latestSendMillis,
            arrivedAt
                + MAX_QUEUED_TIME_SHARE * (request.clientRequest().deadlineMillis() - arrivedAt)));
  }

  /** Whether a request that was not sent may stay queued. */
  static boolean mayQueue(InFlightRequest request, double now) {
    return now < request.queuedUntilMillis() && request.attempts().isEmpty();
  }

  /** Queues a request; one that waits for its key is woken at the end of its time only. */
  void queue(InFlightRequest request, boolean keyIsFree, double now) {
    double until = request.queuedUntilMillis();
    double wakeUpAt = keyIsFree ? Math.min(until, now + SELECTION_INTERVAL_MILLIS) : until;
    actions.scheduleTimer(TimerToken.queue(request.id()), wakeUpAt);
  }

  /**
   * Whether a queued request may look for an endpoint now; otherwise its timer is set again. What
   * keeps one request from all endpoints keeps its whole class from them, so one selection stands
   * for the class: those of hundreds would take too much processor time.
   */
  boolean maySelect(InFlightRequest request, double now) {
    double nextAt =
        Math.min(request.statistics().nextSelectionAtMillis(), request.queuedUntilMillis());
    if (now < nextAt) {
      actions.scheduleTimer(TimerToken.queue(request.id()), nextAt);
      return false;
    }
    return true;
  }

  /** A selection for a queued request found no endpoint: its class waits for the next one. */
  static void selectionFailed(InFlightRequest request, double now) {
    request.statistics().setNextSelectionAtMillis(now + SELECTION_INTERVAL_MILLIS);
  }
}
