package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import org.junit.jupiter.api.Test;

/** Retries and hedged requests, their budget, and the timeout and cancellation of attempts. */
class RetryAndHedgingTest {

  @Test
  void aSlowAttemptIsHedgedAndCancelledWhenTheHedgeIsServed() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().parallelAttempts(true).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
    PolicyHarness.SentAttempt slowAttempt = harness.lastAttempt();
    harness.advance(1_000);
    assertEquals(2, harness.sentAttempts.size());
    harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    assertEquals(List.of(slowAttempt), harness.cancelled);
    harness.finish(slowAttempt, AttemptOutcome.CANCELLED);
    assertEquals(2, harness.sentAttempts.size());
  }

  @Test
  void retriesAreBoundedWhenAllAttemptsFail() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3));
    for (int i = 0; i < 1_000; i++) {
      harness.request(i, 0);
      while (harness.isOpen(i)) {
        harness.finish(harness.lastAttempt(), AttemptOutcome.ERROR);
      }
      harness.advance(10);
    }
    int attempts = harness.sentAttempts.size();
    assertTrue(attempts > 1_050 && attempts < 1_150, attempts + " attempts for 1000 requests");
  }

  @Test
  void retriesAfterFailedConnectsTakeNoToken() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3),
        TestSettings.endpoint(4),
        TestSettings.endpoint(5));
    for (int i = 0; i < 40; i++) {
      harness.request(i, 0);
      for (int failedConnects = 0; failedConnects < 2; failedConnects++) {
        int sentBefore = harness.sentAttempts.size();
        harness.finish(harness.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
        assertEquals(
            sentBefore + 1, harness.sentAttempts.size(), "request " + i + " was not retried");
      }
      harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
      harness.advance(50);
    }
    // The maximum number of attempts of a request still applies.
    int sentBefore = harness.sentAttempts.size();
    harness.request(40, 0);
    for (int i = 0; i < 4; i++) {
      assertEquals(sentBefore + i + 1, harness.sentAttempts.size());
      harness.finish(harness.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
    }
    assertEquals(sentBefore + 4, harness.sentAttempts.size());
    assertEquals(List.of(40L), harness.rejected);
  }

  @Test
  void servedRetriesRefillTheBudget() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3));
    int servedRetries = 0;
    for (int i = 0; i < 500; i++) {
      harness.request(i, 0);
      for (int attempt = 0; harness.isOpen(i); attempt++) {
        servedRetries += attempt;
        harness.finish(
            harness.lastAttempt(), attempt == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
      }
      harness.advance(10);
    }
    assertEquals(500, servedRetries);
  }

  @Test
  void anUnexpectedHedgeTimerSendsNothingIfParallelAttemptsAreNotAllowed() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
    // The token of a hedge timer for attempt 0 of request 1.
    harness.fireTimer(1 << 8);
    assertEquals(1, harness.sentAttempts.size());
  }

  @Test
  void noHedgeIsSentWhileLoadIsShed() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().parallelAttempts(true).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    for (int i = 0; i < 60; i++) {
      harness.request(i, 0);
      harness.advance(50);
      while (harness.isOpen(i)) {
        harness.finish(harness.lastAttempt(), AttemptOutcome.ERROR);
      }
    }
    // Without overload a hedge would be sent after 600 ms, which is three times the initial
    // expected latency.
    int sentBefore = harness.sentAttempts.size();
    for (int i = 60; harness.sentAttempts.size() == sentBefore; i++) {
      harness.request(i, 0);
    }
    harness.advance(900);
    assertEquals(sentBefore + 1, harness.sentAttempts.size());
  }

  @Test
  void anAttemptThatEndsAfterTheClientDisconnectedIsNotRetried() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
    PolicyHarness.SentAttempt attempt = harness.lastAttempt();
    harness.disconnectClient(1);
    harness.finishBeforeClose(attempt, AttemptOutcome.REJECTED);
    assertEquals(1, harness.sentAttempts.size());
    assertTrue(harness.rejected.isEmpty() && harness.failed.isEmpty());
  }

  @Test
  void theTimeoutIsTheLatencyObjectiveIfALateResponseHasNoValue() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings()
                .idempotency(Idempotency.AT_MOST_ONCE)
                .lateResponseValue(0)
                .build(),
            1);
    harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
    harness.request(1, 0);
    assertEquals(TestSettings.OBJECTIVE_MILLIS, harness.lastAttempt().timeoutMillis());
  }

  @Test
  void aStreamedResponseThatHasBegunIsNeitherCancelledNorRetried() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().streamed(true).build(), 1);
    harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
    harness.request(1, 0);
    harness.startStream(harness.lastAttempt());
    harness.advance(10_000);
    harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    assertEquals(1, harness.sentAttempts.size());
    assertTrue(
        harness.cancelled.isEmpty() && harness.failed.isEmpty() && harness.rejected.isEmpty());
  }
}
