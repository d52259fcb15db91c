package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import org.junit.jupiter.api.Test;

/** Requests with the same ordering key are sent in order of arrival. */
class KeyedRequestQueueTest {

  @Test
  void requestsWithTheSameKeyAreSentOneAtATimeInOrderOfArrival() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().orderedByKey(true).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.orderedRequest(1, 0, 7);
    harness.orderedRequest(2, 1, 7);
    harness.orderedRequest(3, 0, 8);
    harness.orderedRequest(4, 0, 0);
    harness.orderedRequest(5, 0, 0);
    assertEquals(
        List.of(1L, 3L, 4L, 5L),
        harness.sentAttempts.stream().map(PolicyHarness.SentAttempt::requestId).toList());
    harness.advance(50);
    harness.finish(harness.sentAttempts.get(0), AttemptOutcome.OK);
    assertEquals(2, harness.lastAttempt().requestId());
  }

  @Test
  void aKeyStaysReservedWhileAnAbandonedAttemptMayStillBeRunning() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().orderedByKey(true).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.orderedRequest(1, 0, 7);
    harness.orderedRequest(2, 0, 7);
    harness.disconnectClient(1);
    harness.advance(100);
    assertEquals(
        1, harness.sentAttempts.size(), "sent while an attempt of the first request is running");
    harness.finish(harness.lastAttempt(), AttemptOutcome.CANCELLED);
    harness.advance(99);
    assertEquals(1, harness.sentAttempts.size(), "sent while the key is reserved");
    harness.advance(2);
    assertEquals(2, harness.lastAttempt().requestId());
  }

  @Test
  void theFirstRequestWithAKeyIsRetriedBeforeTheNextIsSent() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().orderedByKey(true).tier(1).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.orderedRequest(1, 0, 7);
    harness.orderedRequest(2, 0, 7);
    harness.finish(harness.lastAttempt(), AttemptOutcome.RESET);
    assertEquals(1, harness.lastAttempt().requestId());
    assertEquals(2, harness.sentAttempts.size());
  }

  @Test
  void aRequestWhoseKeyWillNotBeReleasedInTimeIsRejectedOnArrival() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings().orderedByKey(true).lateResponseValue(0).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    for (int i = 1; i <= 20; i++) {
      harness.orderedRequest(i, 0, 7);
    }
    // The initial expected latency is 200 ms and the objective 1000 ms, so about five requests
    // can be served in time.
    assertEquals(1, harness.sentAttempts.size());
    assertTrue(
        harness.rejected.size() > 10 && harness.rejected.size() < 18,
        harness.rejected.size() + " of 20 requests rejected: " + harness.rejected);
    assertTrue(harness.isOpen(2) && !harness.isOpen(20));
  }

  @Test
  void aRequestThatWaitsForItsKeyIsRejectedBeforeItsDeadline() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings()
                .orderedByKey(true)
                .idempotency(Idempotency.AT_MOST_ONCE)
                .build(),
            1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.orderedRequest(1, 0, 7);
    harness.orderedRequest(2, 0, 7);
    harness.advance(2_000);
    assertEquals(List.of(2L), harness.rejected);
  }
}
