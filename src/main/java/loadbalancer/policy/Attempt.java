package loadbalancer.policy;

import loadbalancer.model.AttemptOutcome;

/** One attempt of a request, and what has happened to it so far. */
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
      double sentAt,
      double rejectedShareAtSend) {
    this.request = request;
    this.endpoint = endpoint;
    this.number = request.attempts().size();
    this.sentAtMillis = sentAt;
    this.concurrencyAtSend = endpoint.inFlightCount();
    this.rejectedShareAtSend = rejectedShareAtSend;
  }

  InFlightRequest request() {
    return request;
  }

  EndpointStatistics endpoint() {
    return endpoint;
  }

  /** Its number among the attempts of the request, from 0. */
  int number() {
    return number;
  }

  double sentAtMillis() {
    return sentAtMillis;
  }

  /** This instance's attempts in flight at the endpoint when it was sent. */
  int concurrencyAtSend() {
    return concurrencyAtSend;
  }

  /** Share of the arriving work, 0 to 1, that was rejected when it was sent. */
  double rejectedShareAtSend() {
    return rejectedShareAtSend;
  }

  boolean isRunning() {
    return outcome == null;
  }

  boolean isStreaming() {
    return streaming;
  }

  /** Whether it has counted as a sign of overload while it was running. */
  boolean isReportedLate() {
    return reportedLate;
  }

  /** Whether the endpoint may have acted on it, or still may. */
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
