package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import org.junit.jupiter.api.Test;

/**
 * Tests which endpoints a request may be sent to, by their state, the placement of the request
 * class, and where a request that may have run can be repeated without a second effect.
 */
class EndpointEligibilityTest {

  @Test
  void anAtMostOnceRequestThatMayHaveRunFails() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().idempotency(Idempotency.AT_MOST_ONCE).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
    harness.finish(harness.lastAttempt(), AttemptOutcome.TIMEOUT);
    assertEquals(1, harness.sentAttempts.size());
    assertEquals(List.of(1L), harness.failed);
    assertTrue(harness.rejected.isEmpty());
  }

  @Test
  void anAtMostOnceRequestThatNeverRanIsRetried() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().idempotency(Idempotency.AT_MOST_ONCE).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
    harness.finish(harness.lastAttempt(), AttemptOutcome.REJECTED);
    assertEquals(2, harness.sentAttempts.size());
    assertFalse(
        harness.sentAttempts.get(0).endpointId() == harness.sentAttempts.get(1).endpointId());
  }

  @Test
  void aDeduplicatedRequestIsNotRetriedIfItsWindowMayEndWhileConnecting() {
    // The deduplication window is 500 ms and the connect timeout 100 ms: a retry is possible until
    // just before 400 ms. Each case gives the time of the failure in ms and the number of attempts.
    for (int[] failureAndAttempts : new int[][] {{395, 2}, {400, 1}, {499, 1}}) {
      PolicyHarness harness =
          new PolicyHarness(
              TestSettings.settings()
                  .tier(1)
                  .idempotency(Idempotency.DEDUPLICATED)
                  .deduplicationWindowMillis(500)
                  .build(),
              1);
      harness.updateEndpoints(
          EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
      harness.request(1, 0);
      harness.advance(failureAndAttempts[0]);
      harness.finish(harness.lastAttempt(), AttemptOutcome.RESET);
      assertEquals(
          failureAndAttempts[1],
          harness.sentAttempts.size(),
          "attempts after a failure at " + failureAndAttempts[0] + " ms");
    }
  }

  @Test
  void aDeduplicatedRequestIsRetriedOnlyInItsGroupAndWindow() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings()
                .tier(1)
                .idempotency(Idempotency.DEDUPLICATED)
                .deduplicationScope(DeduplicationScope.GROUP)
                .deduplicationWindowMillis(500)
                .build(),
            1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1).deduplicationGroup(0),
        TestSettings.endpoint(2).deduplicationGroup(0),
        TestSettings.endpoint(3).deduplicationGroup(1));
    for (int i = 0; i < 50; i++) {
      harness.request(i, 0);
      PolicyHarness.SentAttempt first = harness.lastAttempt();
      harness.finish(first, AttemptOutcome.ERROR);
      if (first.endpointId() == 3) {
        assertTrue(harness.failed.contains((long) i) || harness.lastAttempt().endpointId() == 3);
      } else {
        assertTrue(harness.lastAttempt().endpointId() < 3);
      }
      if (harness.isOpen(i)) {
        int attemptsInWindow = harness.sentAttempts.size();
        harness.advance(500);
        harness.finish(harness.lastAttempt(), AttemptOutcome.ERROR);
        assertEquals(
            attemptsInWindow, harness.sentAttempts.size(), "attempts after the end of the window");
        assertTrue(harness.failed.contains((long) i));
      }
      harness.advance(2_000);
    }
  }

  @Test
  void noAttemptGoesToADrainingOrRemovedEndpoint() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3));
    harness.updateEndpoints(
        EndpointUpdateType.DELTA,
        TestSettings.endpoint(1).state(EndpointState.DRAINING),
        TestSettings.endpoint(2).state(EndpointState.REMOVED));
    for (int i = 0; i < 100; i++) {
      harness.request(i, 0);
      assertEquals(3, harness.lastAttempt().endpointId());
      harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    }
  }

  @Test
  void aRestrictedClassKeepsItsPlacementWhenItsEndpointsFail() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings().allowedZones(1).allowedMachineTypes(1).tier(1).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1).zone(1),
        TestSettings.endpoint(2).machineType(1),
        TestSettings.endpoint(3).zone(1).machineType(1));
    for (int i = 0; i < 200; i++) {
      harness.request(i, 0);
      while (harness.isOpen(i)) {
        assertEquals(3, harness.lastAttempt().endpointId());
        harness.finish(
            harness.lastAttempt(), i % 2 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
      }
    }
  }
}
