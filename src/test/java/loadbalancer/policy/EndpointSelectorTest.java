package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import org.junit.jupiter.api.Test;

/** Weighted selection by cost: latency, failures, overdue attempts, zones, placement. */
class EndpointSelectorTest {

  private static final double NOW = 100_000;

  @Test
  void selectionIsInverselyProportionalToCost() {
    // One endpoint responds in half the time of the other: it is chosen twice as often.
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 7);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    for (int i = 0; i < 2_000; i++) {
      harness.request(i, 0);
      harness.advance(harness.lastAttempt().endpointId() == 1 ? 100 : 200);
      harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    }
    Map<Long, Integer> drawn = new HashMap<>();
    harness.sentAttempts.forEach(s -> drawn.merge(s.endpointId(), 1, Integer::sum));
    // Both latencies are pooled with two samples of their mean: the ratio lies a little under 2.
    double ratio = drawn.get(1L) / (double) drawn.get(2L);
    assertTrue(ratio > 1.6 && ratio < 2.15, "ratio " + ratio);
  }

  @Test
  void failuresReduceAnEndpointsShareWithoutEndingIt() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 3);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    int toFailing = 0;
    for (int i = 0; i < 2_000; i++) {
      harness.request(i, 0);
      harness.advance(100);
      while (harness.isOpen(i)) {
        PolicyHarness.SentAttempt sent = harness.lastAttempt();
        toFailing += sent.endpointId() == 1 ? 1 : 0;
        harness.finish(sent, sent.endpointId() == 1 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
      }
    }
    assertTrue(toFailing > 5 && toFailing < 300, "sent to the failing endpoint: " + toFailing);
  }

  @Test
  void aHungEndpointLosesItsShareBeforeItsAttemptsTimeOut() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().idempotency(Idempotency.AT_MOST_ONCE).build(), 5);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3));
    int hung = 0;
    for (int i = 0; i < 600; i++) {
      harness.request(i, 0);
      harness.advance(10);
      PolicyHarness.SentAttempt sent = harness.lastAttempt();
      if (sent.endpointId() != 1 || i < 300) {
        harness.finish(sent, AttemptOutcome.OK);
      } else {
        hung++;
      }
    }
    assertTrue(hung > 0 && hung < 30, "sent to the hung endpoint: " + hung);
  }

  @Test
  void oneOverdueAttemptIsEnoughToAvoidItsEndpoint() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings().tier(1).idempotency(Idempotency.AT_MOST_ONCE).build(), 5);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(0, 0);
    long hung = harness.lastAttempt().endpointId();
    harness.advance(1_500);
    int toHung = 0;
    for (int i = 1; i <= 200; i++) {
      harness.request(i, 0);
      toHung += harness.lastAttempt().endpointId() == hung ? 1 : 0;
      harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 100);
    }
    assertTrue(toHung < 20, "sent to the endpoint with the overdue attempt: " + toHung);
  }

  @Test
  void responsesInZeroTimeDoNotBreakTheSelection() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    for (int i = 0; i < 3_000; i++) {
      harness.request(i, 0);
      harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    }
    assertEquals(3_000, harness.sentAttempts.size());
  }

  @Test
  void aRestartClearsTheEvidence() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    int toFirst = 0;
    for (int i = 0; i < 1_000; i++) {
      if (i == 500) {
        toFirst = 0;
        harness.updateEndpoints(
            EndpointUpdateType.DELTA, TestSettings.endpoint(1).startedAt(NOW - 9_500));
      }
      harness.request(i, 0);
      while (harness.isOpen(i)) {
        boolean first = harness.lastAttempt().endpointId() == 1;
        toFirst += first ? 1 : 0;
        harness.finishAfter(
            harness.lastAttempt(),
            first && i < 500 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
            100);
      }
    }
    assertTrue(toFirst > 80, "sent after the restart: " + toFirst);
  }

  @Test
  void aFaultyEndpointInTheOwnZoneIsLeftDespiteTheCrossZonePenalty() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings()
                .tier(1)
                .idempotency(Idempotency.AT_MOST_ONCE)
                .crossZoneCost(0.2)
                .build(),
            1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2).zone(1),
        TestSettings.endpoint(3).zone(1));
    long faulty = 0;
    for (int i = 0; i < 1_000; i++) {
      harness.request(i, 0);
      boolean home = harness.lastAttempt().endpointId() == 1;
      faulty += home ? 1 : 0;
      harness.finishAfter(
          harness.lastAttempt(),
          home && i % 10 < 7 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
          100);
      // Evidence decays with time: an endpoint without attempts is tried again later.
      harness.advance(40);
    }
    assertTrue(faulty > 5 && faulty < 250, faulty + " sent to the faulty endpoint");
  }

  @Test
  void anEndpointThatFailsAtOnceDoesNotLookIdle() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings()
                .tier(1)
                .idempotency(Idempotency.AT_MOST_ONCE)
                .crossZoneCost(0.2)
                .build(),
            1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2).zone(1),
        TestSettings.endpoint(3).zone(1));
    ArrayDeque<PolicyHarness.SentAttempt> out = new ArrayDeque<>();
    int lost = 0;
    for (int i = 0; i < 1_000; i++) {
      harness.request(i, 0);
      if (harness.lastAttempt().endpointId() == 1 && i % 10 < 7) {
        lost++;
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.ERROR, 5);
      } else {
        out.addLast(harness.lastAttempt());
      }
      // What is served takes 300 ms, so that some attempts are always in flight elsewhere.
      harness.advance(30);
      if (out.size() > 10) {
        harness.finishAfter(out.pollFirst(), AttemptOutcome.OK, 300);
      }
    }
    assertTrue(lost < 150, lost + " lost at the faulty endpoint");
  }

  @Test
  void crossZoneAttemptsAreRareButPossible() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().tier(1).crossZoneCost(0.03).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2).zone(1));
    for (int i = 0; i < 1_000; i++) {
      harness.request(i, 0);
      harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 100);
    }
    long crossZone = harness.sentAttempts.stream().filter(s -> s.endpointId() == 2).count();
    assertTrue(crossZone > 0 && crossZone < 100, crossZone + " in the other zone");
  }

  @Test
  void anEndpointThatFailsOneClassKeepsTheOther() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 3);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3),
        TestSettings.endpoint(4));
    int[] toFailing = new int[2];
    for (int i = 0; i < 2_000; i++) {
      harness.request(i, i % 2);
      harness.advance(20);
      while (harness.isOpen(i)) {
        PolicyHarness.SentAttempt sent = harness.lastAttempt();
        toFailing[i % 2] += sent.endpointId() == 1 ? 1 : 0;
        harness.finishAfter(
            sent,
            sent.endpointId() == 1 && i % 2 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
            100);
      }
    }
    // A quarter would be 250 of each.
    assertTrue(toFailing[0] < 60, "of the failing class: " + toFailing[0]);
    assertTrue(toFailing[1] > 150, "of the other: " + toFailing[1]);
  }

  @Test
  void aFailingMachineTypeIsAvoidedAtUntriedEndpointsToo() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings().tier(1).idempotency(Idempotency.AT_MOST_ONCE).build(), 3);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[80];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.endpoint(i + 1).machineType(i % 2);
    }
    harness.updateEndpoints(EndpointUpdateType.CACHED, list);
    int toFailing = 0;
    for (int i = 0; i < 60; i++) {
      harness.request(i, 0);
      boolean failing = harness.lastAttempt().endpointId() % 2 == 0;
      toFailing += failing && i >= 20 ? 1 : 0;
      harness.finishAfter(
          harness.lastAttempt(), failing ? AttemptOutcome.ERROR : AttemptOutcome.OK, 100);
      // So rarely that an endpoint's own evidence has decayed when it is chosen again.
      harness.advance(20_000);
    }
    assertTrue(toFailing < 10, "of 40 attempts to the failing type: " + toFailing);
  }

  @Test
  void unrestrictedRequestsMakeRoomForARestrictedClass() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings().allowedMachineTypes(1).lateResponseValue(0).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2).machineType(1));
    int[] free = new int[3];
    for (int i = 0; i < 600; i++) {
      harness.request(i, i % 2);
      harness.advance(20);
      if (harness.isOpen(i)) {
        free[i % 2 == 1 && i > 200 ? (int) harness.lastAttempt().endpointId() : 0]++;
        // Both endpoints are equally fast for this class: latency alone would share it evenly.
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, i % 2 == 0 ? 900 : 100);
      }
    }
    assertTrue(free[2] > 0 && free[2] < free[1] / 5, free[1] + " and " + free[2]);
  }
}
