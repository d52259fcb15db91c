package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.RequestClass;

/** A request being worked on, with its attempts: what happened, no decisions. */
final class InFlightRequest {

  final ClientRequest request;
  final RequestClass requestClass;
  final RequestClassStatistics statistics;
  final long id;
  final double arrivedAt;
  final List<Attempt> attempts = new ArrayList<>(2);

  /**
   * The unfinished requests of its key in order of arrival, itself among them; null if it is free.
   */
  ArrayDeque<InFlightRequest> keyQueue;

  /** Until when an attempt that was given up may still be running. */
  double settlesAt = Double.NEGATIVE_INFINITY;

  /** Until when it is held for want of a server. */
  double queuedUntil;

  /** When an answer stops being worth its work. */
  double usefulUntil;

  int running;
  boolean done;
  boolean streaming;

  InFlightRequest(ClientRequest request, RequestClassStatistics record, double arrivedAt) {
    this.request = request;
    this.statistics = record;
    this.requestClass = record.type;
    this.id = request.id();
    this.arrivedAt = arrivedAt;
  }

  /** The request's hinted work relative to the mean of its class. */
  double relativeCost() {
    double mean = statistics.cost.value();
    return request.costMillis() > 0 && mean > 0 ? request.costMillis() / mean : 1;
  }

  boolean attempted(EndpointStatistics server) {
    for (Attempt attempt : attempts) {
      if (attempt.endpoint == server) {
        return true;
      }
    }
    return false;
  }

  /**
   * The earliest attempt that is out or was not proven never to have run; null if there is none.
   */
  Attempt firstMaybeRun() {
    for (Attempt attempt : attempts) {
      if (attempt.outcome == null || !attempt.outcome.neverRan()) {
        return attempt;
      }
    }
    return null;
  }
}
