package loadbalancer.policy;

import loadbalancer.model.AttemptOutcome;

/**
 * One sending of a request to an endpoint, and its state. A request has several attempts if it is
 * retried or hedged.
 */
final class Attempt {

  private final InFlightRequest request;
  private final EndpointStatistics endpoint;
  private final int number;
  private final double sentAtMillis;
  private final int concurrencyAtSend;
  private final double rejectedShareAtSend;

  /** Null while it is running. */
  private AttemptOutcome outcome;

  private boolean streaming;
  private boolean reportedLate;

  Attempt(
      InFlightRequest request,
      EndpointStatistics endpoint,
      double sentAtMillis,
      double rejectedShareAtSend) {
    this.request = request;
    this.endpoint = endpoint;
    this.number = request.attempts().size();
    this.sentAtMillis = sentAtMillis;
    this.concurrencyAtSend = endpoint.inFlightCount();
    this.rejectedShareAtSend = rejectedShareAtSend;
  }

  InFlightRequest request() {
    return request;
  }

  EndpointStatistics endpoint() {
    return endpoint;
  }

  /** The number of this attempt among those of its request, from 0. */
  int number() {
    return number;
  }

  double sentAtMillis() {
    return sentAtMillis;
  }

  /** This instance's other attempts in flight at the endpoint when this one was sent. */
  int concurrencyAtSend() {
    return concurrencyAtSend;
  }

  /**
   * Share, 0 to 1, of the arriving work of its placement group that was rejected when this attempt
   * was sent.
   */
  double rejectedShareAtSend() {
    return rejectedShareAtSend;
  }

  boolean isRunning() {
    return outcome == null;
  }

  boolean isStreaming() {
    return streaming;
  }

  /** Whether this attempt was recorded as a late attempt while it was running. */
  boolean isReportedLate() {
    return reportedLate;
  }

  /** Whether the endpoint may have processed this attempt, or may still do so. */
  boolean mayHaveRun() {
    return outcome == null || !outcome.neverRan();
  }

  void finish(AttemptOutcome result) {
    outcome = result;
  }

  void startStreaming() {
    streaming = true;
  }

  void reportLate() {
    reportedLate = true;
  }
}
