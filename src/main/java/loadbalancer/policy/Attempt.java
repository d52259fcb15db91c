package loadbalancer.policy;

import loadbalancer.model.AttemptOutcome;

/** One attempt; {@code result} is null while it is out. */
final class Attempt {
  final InFlightRequest request;
  final EndpointStatistics endpoint;
  final int number;
  final double sentAt;

  /** Own attempts that were in flight there when it was sent. */
  final int concurrencyAtSend;

  /** Share of the work asked for that was refused when it was sent. */
  final double overloadLevelAtSend;

  AttemptOutcome outcome;
  boolean streaming;

  /** Whether it was taken as a sign of overload while it was out. */
  boolean reportedLate;

  Attempt(InFlightRequest call, EndpointStatistics server, double sentAt, double pressure) {
    this.request = call;
    this.endpoint = server;
    this.number = call.attempts.size();
    this.sentAt = sentAt;
    this.concurrencyAtSend = server.inFlight.size();
    this.overloadLevelAtSend = pressure;
  }
}
