package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;
import org.junit.jupiter.api.Test;

/** Requests that are queued because no endpoint can be selected for them. */
class PendingRequestsTest {

  private static final double START_MILLIS = 100_000;

  @Test
  void aRequestWithoutAReadyEndpointIsQueuedAndRejectedBeforeItsDeadline() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(EndpointUpdateType.CACHED);
    harness.request(1, 0);
    harness.request(2, 0);
    assertTrue(harness.isOpen(1) && harness.sentAttempts.isEmpty());
    harness.advance(100);
    harness.updateEndpoints(EndpointUpdateType.FULL, TestSettings.endpoint(1));
    harness.advance(50);
    assertEquals(2, harness.sentAttempts.size());
    harness.updateEndpoints(
        EndpointUpdateType.DELTA, TestSettings.endpoint(1).state(EndpointState.REMOVED));
    harness.request(3, 0);
    harness.advance(5_000);
    assertEquals(List.of(3L), harness.rejected);
    // A request without an attempt is rejected early enough for its client to retry.
    harness.request(4, 0);
    harness.advance(TestSettings.DEADLINE_MILLIS * 0.48);
    assertEquals(List.of(3L, 4L), harness.rejected);
    assertTrue(
        harness.retryAfterMillis > 0
            && harness.retryAfterMillis <= TestSettings.OBJECTIVE_MILLIS / 2,
        "Retry-After advice of " + harness.retryAfterMillis + " ms");
  }

  @Test
  void aRestrictedClassWithoutAnEndpointIsQueuedAndAnUnrestrictedOneIsNot() {
    for (Integer[] machineTypes : new Integer[][] {{1}, {}}) {
      PolicyHarness harness =
          new PolicyHarness(TestSettings.settings().allowedMachineTypes(machineTypes).build(), 1);
      harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
      harness.request(1, 0);
      harness.request(2, 1);
      assertEquals(2, harness.lastAttempt().requestId());
      assertTrue(harness.isOpen(1));
      harness.updateEndpoints(EndpointUpdateType.DELTA, TestSettings.endpoint(2).machineType(1));
      harness.advance(100);
      assertEquals(machineTypes.length == 1 ? 1 : 2, harness.lastAttempt().requestId());
      harness.advance(2_000);
      assertEquals(machineTypes.length == 1, harness.rejected.isEmpty());
    }
  }

  @Test
  void queuedRequestsOfAClassShareOneSelectionPerInterval() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1).startedAt(START_MILLIS),
        TestSettings.endpoint(2).startedAt(START_MILLIS));
    int requests = 200;
    double arrivalIntervalMillis = 0.3;
    double deadlineMillis = harness.now + 10_000;
    for (int i = 0; i < requests; i++) {
      harness.request(i, 0, deadlineMillis, 0);
      harness.advance(arrivalIntervalMillis);
    }
    harness.advance(20);
    int queued = harness.openRequests.size() - harness.sentAttempts.size();
    assertTrue(
        queued > requests / 2, queued + " of the 200 requests queued, expected more than half");
    // They arrived 0.3 ms apart, so with a timer each there would be a selection every 0.3 ms.
    long selections = harness.distinctTimerTimes(20);
    assertTrue(selections <= 2, selections + " selections within 20 ms");
    // A request does not wait for the next selection of its class beyond its own time in the queue.
    harness.request(requests, 0, harness.now + 35, 0);
    harness.advance(35 * 0.45 + 0.001);
    assertFalse(harness.isOpen(requests), "still queued after 45 % of the time to its deadline");
    harness.advance(20);
    // The warm-up budget granted on its arrival may have allowed one attempt of another request; no
    // other request has a final response.
    assertEquals(List.of((long) requests), harness.rejected);
    assertEquals(List.of(), harness.failed);
    assertEquals(requests, harness.openRequests.size(), "requests without a final response");
    int stillQueued = harness.openRequests.size() - harness.sentAttempts.size();
    assertTrue(
        stillQueued == queued || stillQueued == queued - 1,
        stillQueued + " of " + queued + " still queued");
  }
}
