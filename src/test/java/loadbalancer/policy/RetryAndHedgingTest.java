package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import org.junit.jupiter.api.Test;

/** Retries, hedges, their budget, and what ends an attempt. */
class RetryAndHedgingTest {

  @Test
  void aHedgeFollowsASlowAttemptAndTheLoserIsCancelled() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().parallelAttempts(true).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
    PolicyHarness.SentAttempt first = harness.lastAttempt();
    harness.advance(1_000);
    assertEquals(2, harness.sentAttempts.size());
    harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    assertEquals(List.of(first), harness.cancelled);
    harness.finish(first, AttemptOutcome.CANCELLED);
    assertEquals(2, harness.sentAttempts.size());
  }

  @Test
  void retriesAreBoundedWhenEverythingFails() {
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
    int sends = harness.sentAttempts.size();
    assertTrue(sends > 1_050 && sends < 1_150, sends + " sends for 1000 requests");
  }

  @Test
  void attemptsWithoutAConnectionTakeNoRetryToken() {
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
      for (int failed = 0; failed < 2; failed++) {
        int sends = harness.sentAttempts.size();
        harness.finish(harness.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
        assertEquals(sends + 1, harness.sentAttempts.size(), "request " + i + " got no retry");
      }
      harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
      harness.advance(50);
    }
    // The limit on the attempts of one request still holds.
    int sends = harness.sentAttempts.size();
    harness.request(40, 0);
    for (int i = 0; i < 4; i++) {
      assertEquals(sends + i + 1, harness.sentAttempts.size());
      harness.finish(harness.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
    }
    assertEquals(sends + 4, harness.sentAttempts.size());
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
    int served = 0;
    for (int i = 0; i < 500; i++) {
      harness.request(i, 0);
      for (int attempt = 0; harness.isOpen(i); attempt++) {
        served += attempt;
        harness.finish(
            harness.lastAttempt(), attempt == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
      }
      harness.advance(10);
    }
    assertEquals(500, served);
  }

  @Test
  void aStrayTimerSendsNoHedgeWhereParallelAttemptsAreForbidden() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
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
    // Otherwise a hedge would follow after three times the first expected latency, 600 ms.
    int sends = harness.sentAttempts.size();
    for (int i = 60; harness.sentAttempts.size() == sends; i++) {
      harness.request(i, 0);
    }
    harness.advance(900);
    assertEquals(sends + 1, harness.sentAttempts.size());
  }

  @Test
  void aResultThatComesAfterTheClientDisconnectedSendsNothing() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(1, 0);
    PolicyHarness.SentAttempt sent = harness.lastAttempt();
    harness.disconnectClient(1);
    harness.finishBeforeClose(sent, AttemptOutcome.REJECTED);
    assertEquals(1, harness.sentAttempts.size());
    assertTrue(harness.rejected.isEmpty() && harness.failed.isEmpty());
  }

  @Test
  void theTimeoutIsTheObjectiveWhereALateResponseHasNoValue() {
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
  void aStartedStreamIsNeitherCancelledNorRetried() {
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
