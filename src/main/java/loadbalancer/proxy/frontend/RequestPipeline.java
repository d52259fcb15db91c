package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.FullHttpRequest;
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
  record PipelinedRequest(FullHttpRequest request, double arrivedAtMillis) {

    private int bodyBytes() {
      return request.content().readableBytes();
    }
  }

  private final ArrayDeque<PipelinedRequest> requests = new ArrayDeque<>();
  private final PipelineBudget budget;

  RequestPipeline(PipelineBudget budget) {
    this.budget = budget;
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  /** Adds a request and takes over one reference to it. */
  void add(FullHttpRequest request, double arrivedAtMillis) {
    PipelinedRequest added = new PipelinedRequest(request, arrivedAtMillis);
    budget.reserve(added.bodyBytes());
    requests.addLast(added);
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
      budget.release(next.bodyBytes());
    }
    return next;
  }

  /** Discards all requests. */
  void clear() {
    for (PipelinedRequest dropped : requests) {
      budget.release(dropped.bodyBytes());
      dropped.request.release();
    }
    requests.clear();
  }
}
