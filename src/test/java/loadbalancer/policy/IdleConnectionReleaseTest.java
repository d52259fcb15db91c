package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import org.junit.jupiter.api.Test;

/** When idle connections to an endpoint are closed. */
class IdleConnectionReleaseTest {

  @Test
  void idleConnectionsAreClosedOnlyToAnEndpointThatAcceptsNoMoreConnections() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
    harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    assertEquals(0, harness.idleConnectionsClosed);
    harness.request(2, 0);
    long refusingEndpointId = harness.lastAttempt().endpointId();
    harness.finish(harness.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
    assertEquals(1, harness.idleConnectionsClosed);
    assertTrue(harness.lastAttempt().endpointId() != refusingEndpointId);
    harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    assertEquals(
        1, harness.idleConnectionsClosed, "idle connections to the other endpoint were closed");
  }
}
