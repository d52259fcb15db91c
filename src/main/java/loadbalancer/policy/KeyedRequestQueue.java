package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.model.AttemptOutcome;

/**
 * Orders the requests of one key: they are sent one at a time, in order of arrival. A request
 * releases its key once it is done and none of its attempts may still be running.
 */
final class KeyedRequestQueue {

  /** Looked up by key only; a key without requests is removed. */
  private final Map<Long, ArrayDeque<InFlightRequest>> queues = new HashMap<>();

  /** Queues a request behind those of its key, if its class is ordered and it has one. */
  void add(InFlightRequest request) {
    long key = request.clientRequest().key();
    if (request.requestClass().orderedByKey() && key != 0) {
      ArrayDeque<InFlightRequest> queue = queues.computeIfAbsent(key, k -> new ArrayDeque<>());
      request.setKeyQueue(queue);
      queue.addLast(request);
    }
  }

  /** Whether no earlier request holds the key. */
  static boolean isFirst(InFlightRequest request) {
    return request.keyQueue() == null || request.keyQueue().peekFirst() == request;
  }

  /** The time that the earlier requests of its key are expected to take. */
  static double expectedWaitMillis(InFlightRequest request) {
    return request.keyQueue() == null
        ? 0
        : request.keyQueue().stream()
            .takeWhile(other -> other != request)
            .mapToDouble(InFlightRequest::expectedLatencyMillis)
            .sum();
  }

  /** Keeps the key reserved after an attempt that was abandoned and may still be running. */
  static void attemptFinished(
      InFlightRequest request, AttemptOutcome outcome, double settleMillis, double now) {
    if (outcome == AttemptOutcome.TIMEOUT
        || outcome == AttemptOutcome.RESET
        || outcome == AttemptOutcome.CANCELLED) {
      request.setSettlesAtMillis(now + settleMillis);
    }
  }

  /** Whether an abandoned attempt may still be running, so that the key stays reserved. */
  static boolean isSettling(InFlightRequest request, double now) {
    return request.keyQueue() != null && now < request.settlesAtMillis();
  }

  /**
   * Removes a settled request.
   *
   * @return the request that may be sent next, or null if that has not changed
   */
  InFlightRequest release(InFlightRequest request) {
    ArrayDeque<InFlightRequest> queue = request.keyQueue();
    if (queue == null) {
      return null;
    }
    boolean wasFirst = queue.peekFirst() == request;
    queue.remove(request);
    if (queue.isEmpty()) {
      queues.remove(request.clientRequest().key());
      return null;
    }
    return wasFirst ? queue.peekFirst() : null;
  }
}
