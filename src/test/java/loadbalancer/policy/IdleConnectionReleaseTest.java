package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import org.junit.jupiter.api.Test;

/** When idle connections are closed. */
class IdleConnectionReleaseTest {

  @Test
  void idleConnectionsAreClosedOnlyToAnEndpointThatAcceptsNoMore() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
    harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    assertEquals(0, harness.idleConnectionsClosed);
    harness.request(2, 0);
    long full = harness.lastAttempt().endpointId();
    harness.finish(harness.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
    assertEquals(1, harness.idleConnectionsClosed);
    assertTrue(harness.lastAttempt().endpointId() != full);
    harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    assertEquals(1, harness.idleConnectionsClosed, "the other endpoint's connections are kept");
  }
}
