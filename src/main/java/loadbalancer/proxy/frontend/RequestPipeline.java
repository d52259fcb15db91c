package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;

/** The complete requests of one connection that wait for the responses to earlier ones. */
final class RequestPipeline {

  private static final int MAX_PIPELINED_REQUESTS = 16;

  /**
   * A request that waits.
   *
   * @param arrivedAtMillis when it arrived: its deadline runs from there, not from its turn
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

  /** Adds a request and takes its reference over. */
  void add(FullHttpRequest request, double arrivedAtMillis) {
    PipelinedRequest added = new PipelinedRequest(request, arrivedAtMillis);
    budget.reserve(added.bodyBytes());
    requests.addLast(added);
  }

  /** Whether too many wait here or, behind a request in flight, too much memory is held. */
  boolean isOverLimit(boolean requestInFlight) {
    return requests.size() > MAX_PIPELINED_REQUESTS || (requestInFlight && budget.isExceeded());
  }

  /** Removes the next request and passes its reference on; null if there is none. */
  PipelinedRequest poll() {
    PipelinedRequest next = requests.pollFirst();
    if (next != null) {
      budget.release(next.bodyBytes());
    }
    return next;
  }

  void clear() {
    for (PipelinedRequest dropped : requests) {
      budget.release(dropped.bodyBytes());
      dropped.request.release();
    }
    requests.clear();
  }
}
