package loadbalancer.policy;

import loadbalancer.model.AttemptOutcome;

/**
 * Closes idle connections to an endpoint that accepts no more: the idle ones of many instances fill
 * its table although it has capacity. Elsewhere they stay.
 */
final class IdleConnectionRelease {

  private final PolicyActions actions;
  private final double idleTimeoutMillis;

  IdleConnectionRelease(PolicyActions actions, double idleTimeoutMillis) {
    this.actions = actions;
    this.idleTimeoutMillis = idleTimeoutMillis;
  }

  /** Closes them, if none is in use, for as long after a failed connect as idle ones last. */
  void attemptFinished(EndpointStatistics endpoint, AttemptOutcome outcome, double now) {
    if (outcome == AttemptOutcome.CONNECT_FAILED) {
      endpoint.setConnectionsFullUntilMillis(now + idleTimeoutMillis);
    }
    if (now < endpoint.connectionsFullUntilMillis() && endpoint.inFlightCount() == 0) {
      actions.closeIdleConnections(endpoint.listedEndpoint().id());
    }
  }
}
