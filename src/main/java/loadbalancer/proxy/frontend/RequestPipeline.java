package loadbalancer.proxy.frontend;

import java.util.ArrayDeque;

/** The complete requests of one connection that wait until earlier ones have their responses. */
final class RequestPipeline {

  private static final int MAX_PIPELINED_REQUESTS = 16;

  /**
   * A request that waits.
   *
   * @param arrivedAtMillis the earliest time at which it may have arrived; its deadline counts from
   *     then, not from when its processing begins
   */
  record PipelinedRequest(CountedRequest request, double arrivedAtMillis) {}

  private final ArrayDeque<PipelinedRequest> requests = new ArrayDeque<>();
  private final PipelineBudget budget;

  RequestPipeline(PipelineBudget budget) {
    this.budget = budget;
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  /** Adds a request and takes ownership of one reference to it. */
  void add(CountedRequest request, double arrivedAtMillis) {
    budget.add(request);
    requests.addLast(new PipelinedRequest(request, arrivedAtMillis));
  }

  /**
   * Whether too many requests wait on this connection or, if it has a request in flight, the
   * waiting requests of all connections hold too much memory.
   */
  boolean isOverLimit(boolean requestInFlight) {
    return requests.size() > MAX_PIPELINED_REQUESTS || (requestInFlight && budget.isExceeded());
  }

  /** Removes and returns the next request, which the caller has to release; null if none waits. */
  PipelinedRequest poll() {
    PipelinedRequest next = requests.pollFirst();
    if (next != null) {
      budget.remove(next.request);
    }
    return next;
  }

  /** Discards all requests. */
  void clear() {
    for (PipelinedRequest dropped : requests) {
      budget.remove(dropped.request);
      dropped.request.release();
    }
    requests.clear();
  }
}
