package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import org.junit.jupiter.api.Test;

/** Load shedding: what tells of overload, what is rejected, when that ends. */
class AdmissionControllerTest {

  @Test
  void underOverloadTheLeastValuableClassIsRejectedFirstAndOnlyInTheClientTier() {
    for (int tier = 0; tier < 2; tier++) {
      PolicyHarness harness =
          new PolicyHarness(TestSettings.settings().tier(tier).lateResponseValue(0).build(), 1);
      harness.updateEndpoints(
          EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
      int[] sent = new int[2];
      for (int i = 0; i < 400; i++) {
        int before = harness.sentAttempts.size();
        harness.request(i, i % 2);
        harness.advance(10);
        if (harness.sentAttempts.size() > before) {
          sent[i % 2]++;
          // A third of the attempts take most of their objective.
          harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, i % 3 == 0 ? 700 : 100);
        }
      }
      if (tier == 0) {
        assertTrue(sent[1] < 190 && sent[1] < sent[0], sent[0] + " and " + sent[1]);
      } else {
        assertEquals(400, sent[0] + sent[1]);
      }
    }
  }

  @Test
  void sheddingEndsSoonAfterItsCauseEvenWithFewAttempts() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().lateResponseValue(0).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    for (int i = 0; i < 200; i++) {
      harness.request(i, 0);
      harness.advance(20);
      if (harness.isOpen(i)) {
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 900);
      }
    }
    int rejectedDuringOverload = harness.rejected.size();
    assertTrue(rejectedDuringOverload > 20, rejectedDuringOverload + " rejected");
    for (int i = 200; i < 1_000; i++) {
      harness.request(i, 0);
      harness.advance(20);
      if (harness.isOpen(i)) {
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 50);
      }
      if (i == 600) {
        // Eight seconds later.
        rejectedDuringOverload = harness.rejected.size();
      }
    }
    assertEquals(rejectedDuringOverload, harness.rejected.size());
  }

  @Test
  void clientRetriesAreRejectedBeforeFirstTries() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().lateResponseValue(0).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    for (int i = 0; i < 400; i++) {
      if (i % 2 == 0) {
        harness.request(i, 0);
      } else {
        harness.clientRetry(i, 0);
      }
      harness.advance(20);
      if (harness.isOpen(i)) {
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 900);
      }
    }
    long retries = harness.rejected.stream().filter(id -> id % 2 == 1).count();
    long first = harness.rejected.size() - retries;
    assertTrue(retries > 40 && first < retries / 4, retries + " retries and " + first + " others");
  }

  @Test
  void overloadIsDetectedWhileAttemptsAreStillRunning() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings()
                .idempotency(Idempotency.AT_MOST_ONCE)
                .lateResponseValue(0)
                .build(),
            1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    int i = 0;
    for (; i < 40; i++) {
      harness.request(i, 0);
      harness.advance(20);
    }
    // No attempt has ended, but the oldest are past half their objective.
    int rejected = harness.rejected.size();
    for (; i < 60; i++) {
      harness.request(i, 0);
      harness.advance(20);
    }
    assertTrue(harness.rejected.size() > rejected, harness.rejected.size() + " rejected");
  }

  @Test
  void lateAttemptsRaiseTheLevelOnlySoFarAboveTheShareAtTheirSend() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings()
                .idempotency(Idempotency.AT_MOST_ONCE)
                .lateResponseValue(0)
                .build(),
            1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3),
        TestSettings.endpoint(4),
        TestSettings.endpoint(5),
        TestSettings.endpoint(6),
        TestSettings.endpoint(7),
        TestSettings.endpoint(8));
    for (int i = 0; i < 50; i++) {
      harness.request(i, 0);
      harness.advance(9);
    }
    // All of these become overdue, one after another; none was sent while anything was rejected.
    assertTrue(harness.rejected.isEmpty());
    harness.advance(1_000);
    for (int i = 50; i < 1_050; i++) {
      harness.request(i, 0);
      if (harness.isOpen(i)) {
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 50);
      }
    }
    int rejected = harness.rejected.size();
    assertTrue(rejected > 200 && rejected < 400, rejected + " of 1000 rejected");
  }

  @Test
  void requestsBeyondTheQueueingLimitAreRejectedBeforeAnyAttemptIsLate() {
    for (int tier = 0; tier < 2; tier++) {
      PolicyHarness harness =
          new PolicyHarness(TestSettings.settings().tier(tier).lateResponseValue(0).build(), 1);
      harness.updateEndpoints(
          EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
      for (int i = 0; i < 100; i++) {
        harness.request(i, 1);
        harness.advance(1);
      }
      // Expected is a fifth of the objective, with five attempts at once: 25 would take all of it.
      int cheap = harness.sentAttempts.size();
      for (int i = 100; i < 200; i++) {
        harness.request(i, 0);
      }
      int valuable = harness.sentAttempts.size() - cheap;
      if (tier == 0) {
        assertTrue(
            cheap > 10 && valuable > 0 && cheap + valuable <= 50,
            cheap + " and " + valuable + " sent");
        assertEquals(200 - cheap - valuable, harness.rejected.size());
      } else {
        assertEquals(100, cheap);
        assertEquals(100, valuable);
      }
    }
  }

  @Test
  void oneHungEndpointCausesNoShedding() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings()
                .idempotency(Idempotency.AT_MOST_ONCE)
                .lateResponseValue(0)
                .build(),
            1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3),
        TestSettings.endpoint(4));
    int hung = 0;
    for (int i = 0; i < 400; ) {
      int sent = harness.sentAttempts.size();
      for (int end = i + 8; i < end; i++) {
        harness.request(i, 0);
      }
      harness.advance(100);
      for (PolicyHarness.SentAttempt one :
          List.copyOf(harness.sentAttempts.subList(sent, harness.sentAttempts.size()))) {
        // It never responds; its attempts become late while they run.
        if (one.endpointId() == 1) {
          hung++;
        } else {
          harness.finish(one, AttemptOutcome.OK);
        }
      }
    }
    assertTrue(hung > 3, hung + " at the endpoint that hangs");
    assertEquals(List.of(), harness.rejected);
  }

  @Test
  void anInstanceThatRejectsNearlyAllRecoversSoonAfterTheOverload() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings()
                .idempotency(Idempotency.AT_MOST_ONCE)
                .lateResponseValue(0)
                .build(),
            1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3),
        TestSettings.endpoint(4));
    int id = 0;
    for (int round = 0; round < 10; round++) {
      int sent = harness.sentAttempts.size();
      for (int i = 0; i < 100; i++) {
        harness.request(id++, 0);
      }
      harness.advance(TestSettings.OBJECTIVE_MILLIS);
      List.copyOf(harness.sentAttempts.subList(sent, harness.sentAttempts.size()))
          .forEach(one -> harness.finish(one, AttemptOutcome.TIMEOUT));
    }
    int rejected = harness.rejected.size();
    for (int i = 0; i < 200; i++) {
      if (i == 50) {
        assertTrue(
            harness.rejected.size() - rejected > 10,
            harness.rejected.size() - rejected + " rejected");
        rejected = harness.rejected.size();
      }
      harness.request(id, 0);
      harness.advance(100);
      if (harness.isOpen(id++)) {
        harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
      }
    }
    // From five seconds after the overload on.
    assertEquals(rejected, harness.rejected.size());
  }

  @Test
  void earlyErrorsAreNoSignOfOverload() {
    for (AttemptOutcome result :
        new AttemptOutcome[] {AttemptOutcome.ERROR, AttemptOutcome.REJECTED}) {
      PolicyHarness harness =
          new PolicyHarness(
              TestSettings.settings()
                  .idempotency(Idempotency.AT_MOST_ONCE)
                  .lateResponseValue(0)
                  .build(),
              1);
      harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
      for (int i = 0; i < 200; i++) {
        harness.request(i, 0);
        if (harness.isOpen(i)) {
          harness.finishAfter(harness.lastAttempt(), result, 5);
        }
      }
      long shed =
          200
              - harness.sentAttempts.stream()
                  .map(PolicyHarness.SentAttempt::requestId)
                  .distinct()
                  .count();
      assertEquals(
          result == AttemptOutcome.REJECTED, shed > 0, shed + " rejected without an attempt");
    }
  }

  @Test
  void overloadOfARestrictedClassRejectsNothingOfTheOthers() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings().allowedMachineTypes(1).lateResponseValue(0).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2).machineType(1));
    int[] rejected = new int[2];
    for (int i = 0; i < 400; i++) {
      harness.request(i, i % 2);
      harness.advance(20);
      if (harness.isOpen(i)) {
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, i % 2 == 0 ? 900 : 100);
      } else {
        rejected[i % 2]++;
      }
    }
    assertTrue(rejected[0] > 40, rejected[0] + " rejected of the restricted class");
    assertEquals(0, rejected[1]);
  }
}
