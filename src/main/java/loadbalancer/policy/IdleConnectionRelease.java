package loadbalancer.policy;

import loadbalancer.model.AttemptOutcome;

/**
 * Closes idle connections to an endpoint that accepts no further connections: the idle connections
 * of many instances can exhaust its connection limit although it has capacity. Idle connections to
 * other endpoints are kept for reuse.
 */
final class IdleConnectionRelease {

  private final PolicyActions actions;
  private final double idleTimeoutMillis;

  IdleConnectionRelease(PolicyActions actions, double idleTimeoutMillis) {
    this.actions = actions;
    this.idleTimeoutMillis = idleTimeoutMillis;
  }

  /**
   * After a failed connect, closes the idle connections to the endpoint whenever an attempt ends
   * and no other is in flight there, for as long as an endpoint keeps an idle connection.
   */
  void attemptFinished(EndpointStatistics endpoint, AttemptOutcome outcome, double now) {
    if (outcome == AttemptOutcome.CONNECT_FAILED) {
      endpoint.setConnectionsFullUntilMillis(now + idleTimeoutMillis);
    }
    if (now < endpoint.connectionsFullUntilMillis() && endpoint.inFlightCount() == 0) {
      actions.closeIdleConnections(endpoint.listedEndpoint().id());
    }
  }
}
