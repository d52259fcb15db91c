package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import org.junit.jupiter.api.Test;

/**
 * Load shedding: which attempts indicate overload, which requests are rejected, and for how long.
 */
class AdmissionControllerTest {

  @Test
  void underOverloadTheLeastValuableClassIsRejectedFirstAndOnlyInTheClientFacingTier() {
    for (int tier = 0; tier < 2; tier++) {
      PolicyHarness harness =
          new PolicyHarness(TestSettings.settings().tier(tier).lateResponseValue(0).build(), 1);
      harness.updateEndpoints(
          EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
      int[] sentByClass = new int[2];
      for (int i = 0; i < 400; i++) {
        int sentBefore = harness.sentAttempts.size();
        harness.request(i, i % 2);
        harness.advance(10);
        if (harness.sentAttempts.size() > sentBefore) {
          sentByClass[i % 2]++;
          // A third of the attempts take 700 ms of their objective of 1000 ms.
          harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, i % 3 == 0 ? 700 : 100);
        }
      }
      if (tier == 0) {
        assertTrue(
            sentByClass[1] < 190 && sentByClass[1] < sentByClass[0],
            sentByClass[0] + " sent of class 0 and " + sentByClass[1] + " of class 1");
      } else {
        assertEquals(400, sentByClass[0] + sentByClass[1]);
      }
    }
  }

  @Test
  void sheddingEndsSoonAfterTheOverloadEvenAtALowRequestRate() {
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
    int rejected = harness.rejected.size();
    assertTrue(rejected > 20, rejected + " rejected during the overload");
    for (int i = 200; i < 1_000; i++) {
      harness.request(i, 0);
      harness.advance(20);
      if (harness.isOpen(i)) {
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 50);
      }
      if (i == 600) {
        // Eight seconds after the overload, shedding has to have ended.
        rejected = harness.rejected.size();
      }
    }
    assertEquals(rejected, harness.rejected.size());
  }

  @Test
  void clientRetriesAreRejectedBeforeInitialRequests() {
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
    long rejectedRetries = harness.rejected.stream().filter(id -> id % 2 == 1).count();
    long rejectedInitialRequests = harness.rejected.size() - rejectedRetries;
    assertTrue(
        rejectedRetries > 40 && rejectedInitialRequests < rejectedRetries / 4,
        rejectedRetries + " retries and " + rejectedInitialRequests + " initial requests rejected");
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
    // No attempt has ended, but the oldest have been running for over half of their objective.
    int rejectedBefore = harness.rejected.size();
    for (; i < 60; i++) {
      harness.request(i, 0);
      harness.advance(20);
    }
    assertTrue(
        harness.rejected.size() > rejectedBefore,
        rejectedBefore
            + " requests rejected before the second phase, still "
            + harness.rejected.size()
            + " after its 20 requests");
  }

  @Test
  void lateAttemptsRaiseTheLevelByALimitedAmountAboveTheRejectedShareAtTheirSend() {
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
    // All of these attempts become late one by one; all were sent while nothing was rejected.
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
      // An endpoint is expected to take 200 ms for five concurrent attempts. With 25 in flight,
      // the queueing delay would be the whole objective of 1000 ms.
      int sentOfClass1 = harness.sentAttempts.size();
      for (int i = 100; i < 200; i++) {
        harness.request(i, 0);
      }
      int sentOfClass0 = harness.sentAttempts.size() - sentOfClass1;
      if (tier == 0) {
        assertTrue(
            sentOfClass1 > 10 && sentOfClass0 > 0 && sentOfClass1 + sentOfClass0 <= 50,
            sentOfClass1 + " sent of class 1 and " + sentOfClass0 + " of class 0");
        assertEquals(200 - sentOfClass1 - sentOfClass0, harness.rejected.size());
      } else {
        assertEquals(100, sentOfClass1);
        assertEquals(100, sentOfClass0);
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
    int attemptsAtHungEndpoint = 0;
    for (int i = 0; i < 400; ) {
      int sentBefore = harness.sentAttempts.size();
      for (int end = i + 8; i < end; i++) {
        harness.request(i, 0);
      }
      harness.advance(100);
      for (PolicyHarness.SentAttempt attempt :
          List.copyOf(harness.sentAttempts.subList(sentBefore, harness.sentAttempts.size()))) {
        // This endpoint never responds; its attempts become late while they are running.
        if (attempt.endpointId() == 1) {
          attemptsAtHungEndpoint++;
        } else {
          harness.finish(attempt, AttemptOutcome.OK);
        }
      }
    }
    assertTrue(
        attemptsAtHungEndpoint > 3, attemptsAtHungEndpoint + " attempts at the hung endpoint");
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
    int requestId = 0;
    for (int round = 0; round < 10; round++) {
      int sentBefore = harness.sentAttempts.size();
      for (int i = 0; i < 100; i++) {
        harness.request(requestId++, 0);
      }
      harness.advance(TestSettings.OBJECTIVE_MILLIS);
      List.copyOf(harness.sentAttempts.subList(sentBefore, harness.sentAttempts.size()))
          .forEach(attempt -> harness.finish(attempt, AttemptOutcome.TIMEOUT));
    }
    int rejectedBefore = harness.rejected.size();
    for (int i = 0; i < 200; i++) {
      if (i == 50) {
        assertTrue(
            harness.rejected.size() - rejectedBefore > 10,
            harness.rejected.size()
                - rejectedBefore
                + " of the first 50 requests after the overload rejected, expected more than 10");
        rejectedBefore = harness.rejected.size();
      }
      harness.request(requestId, 0);
      harness.advance(100);
      if (harness.isOpen(requestId++)) {
        harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
      }
    }
    // Nothing was rejected later than five seconds after the overload.
    assertEquals(rejectedBefore, harness.rejected.size());
  }

  @Test
  void earlyErrorsAreNoSignOfOverloadButRejectionsAre() {
    for (AttemptOutcome outcome :
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
          harness.finishAfter(harness.lastAttempt(), outcome, 5);
        }
      }
      long rejectedOnArrival =
          200
              - harness.sentAttempts.stream()
                  .map(PolicyHarness.SentAttempt::requestId)
                  .distinct()
                  .count();
      assertEquals(
          outcome == AttemptOutcome.REJECTED,
          rejectedOnArrival > 0,
          outcome + ": " + rejectedOnArrival + " requests rejected without an attempt");
    }
  }

  @Test
  void overloadOfAClassWithRestrictedPlacementCausesNoRejectionsOfOtherClasses() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings().allowedMachineTypes(1).lateResponseValue(0).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2).machineType(1));
    int[] rejectedByClass = new int[2];
    for (int i = 0; i < 400; i++) {
      harness.request(i, i % 2);
      harness.advance(20);
      if (harness.isOpen(i)) {
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, i % 2 == 0 ? 900 : 100);
      } else {
        rejectedByClass[i % 2]++;
      }
    }
    assertTrue(rejectedByClass[0] > 40, rejectedByClass[0] + " rejected of the restricted class");
    assertEquals(0, rejectedByClass[1]);
  }
}
