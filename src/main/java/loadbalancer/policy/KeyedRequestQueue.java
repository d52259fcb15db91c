package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.model.AttemptOutcome;

/**
 * Sends the requests with the same ordering key one at a time, in order of arrival. A request
 * releases its key once it is done and none of its attempts may still be running.
 */
final class KeyedRequestQueue {

  /**
   * For each ordering key, its requests in order of arrival. An empty queue is removed. The map is
   * only used to look up a key, never iterated.
   */
  private final Map<Long, ArrayDeque<InFlightRequest>> queuesByKey = new HashMap<>();

  /** Queues a request behind those with the same key, if its class is ordered and it has a key. */
  void add(InFlightRequest request) {
    long key = request.clientRequest().key();
    if (request.requestClass().orderedByKey() && key != 0) {
      ArrayDeque<InFlightRequest> queue = queuesByKey.computeIfAbsent(key, k -> new ArrayDeque<>());
      request.setKeyQueue(queue);
      queue.addLast(request);
    }
  }

  /** Whether no earlier request has the same key; always true without an ordering key. */
  static boolean isFirstOfKey(InFlightRequest request) {
    return request.keyQueue() == null || request.keyQueue().peekFirst() == request;
  }

  /** The time that the earlier requests with the same key are expected to take in total. */
  static double expectedWaitMillis(InFlightRequest request) {
    return request.keyQueue() == null
        ? 0
        : request.keyQueue().stream()
            .takeWhile(other -> other != request)
            .mapToDouble(InFlightRequest::expectedLatencyMillis)
            .sum();
  }

  /**
   * Keeps the key reserved for {@code settleMillis} after an attempt that was abandoned: the
   * endpoint may still be working on it.
   */
  static void attemptFinished(
      InFlightRequest request, AttemptOutcome outcome, double settleMillis, double now) {
    if (outcome == AttemptOutcome.TIMEOUT
        || outcome == AttemptOutcome.RESET
        || outcome == AttemptOutcome.CANCELLED) {
      request.setKeyReservedUntilMillis(now + settleMillis);
    }
  }

  /** Whether the request keeps its key because an abandoned attempt may still be running. */
  static boolean isKeyReserved(InFlightRequest request, double now) {
    return request.keyQueue() != null && now < request.keyReservedUntilMillis();
  }

  /**
   * Removes a request that is done and has no attempt that may still be running.
   *
   * @return the request with the same key that may be sent now, or null if there is none
   */
  InFlightRequest release(InFlightRequest request) {
    ArrayDeque<InFlightRequest> queue = request.keyQueue();
    if (queue == null) {
      return null;
    }
    boolean wasFirst = queue.peekFirst() == request;
    queue.remove(request);
    if (queue.isEmpty()) {
      queuesByKey.remove(request.clientRequest().key());
      return null;
    }
    return wasFirst ? queue.peekFirst() : null;
  }
}
