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

/**
 * Tests the reasons that change the share of an endpoint in the weighted selection: latency,
 * failures, overdue attempts, zones, machine types and placement.
 */
class EndpointSelectorTest {

  /** The time at which a {@link PolicyHarness} starts. */
  private static final double START_MILLIS = 100_000;

  @Test
  void selectionIsInverselyProportionalToCost() {
    // Endpoint 1 responds in half the time of endpoint 2, so it should get about twice as many.
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 7);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    for (int i = 0; i < 2_000; i++) {
      harness.request(i, 0);
      harness.advance(harness.lastAttempt().endpointId() == 1 ? 100 : 200);
      harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
    }
    Map<Long, Integer> attemptsByEndpoint = new HashMap<>();
    harness.sentAttempts.forEach(
        sent -> attemptsByEndpoint.merge(sent.endpointId(), 1, Integer::sum));
    // The mean latency of each endpoint includes two samples of the mean over both endpoints, which
    // makes the ratio a little less than 2.
    double attemptRatio = attemptsByEndpoint.get(1L) / (double) attemptsByEndpoint.get(2L);
    assertTrue(
        attemptRatio > 1.6 && attemptRatio < 2.15,
        "ratio of attempts at the faster and the slower endpoint: " + attemptRatio);
  }

  @Test
  void aFailingEndpointGetsFewAttemptsButNotNone() {
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
    assertTrue(
        toFailing > 5 && toFailing < 300, "attempts sent to the failing endpoint: " + toFailing);
  }

  @Test
  void aHungEndpointIsAvoidedBeforeItsAttemptsTimeOut() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().idempotency(Idempotency.AT_MOST_ONCE).build(), 5);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3));
    int toHung = 0;
    for (int i = 0; i < 600; i++) {
      harness.request(i, 0);
      harness.advance(10);
      PolicyHarness.SentAttempt sent = harness.lastAttempt();
      // Endpoint 1 stops responding after half of the requests.
      if (sent.endpointId() != 1 || i < 300) {
        harness.finish(sent, AttemptOutcome.OK);
      } else {
        toHung++;
      }
    }
    assertTrue(toHung > 0 && toHung < 30, "attempts sent to the hung endpoint: " + toHung);
  }

  @Test
  void oneOverdueAttemptIsEnoughToAvoidItsEndpoint() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings().tier(1).idempotency(Idempotency.AT_MOST_ONCE).build(), 5);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.request(0, 0);
    long hungEndpoint = harness.lastAttempt().endpointId();
    harness.advance(1_500);
    int toHung = 0;
    for (int i = 1; i <= 200; i++) {
      harness.request(i, 0);
      toHung += harness.lastAttempt().endpointId() == hungEndpoint ? 1 : 0;
      harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 100);
    }
    assertTrue(toHung < 20, "attempts sent to the endpoint with the overdue attempt: " + toHung);
  }

  /** A latency of 0 would make the cost 0 and the weight infinite. */
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
  void aRestartClearsTheStatisticsOfAnEndpoint() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    int toRestarted = 0;
    for (int i = 0; i < 1_000; i++) {
      if (i == 500) {
        // Endpoint 1 has failed so far. It restarts, is almost warm, and serves from now on.
        toRestarted = 0;
        harness.updateEndpoints(
            EndpointUpdateType.DELTA, TestSettings.endpoint(1).startedAt(START_MILLIS - 9_500));
      }
      harness.request(i, 0);
      while (harness.isOpen(i)) {
        boolean atRestarted = harness.lastAttempt().endpointId() == 1;
        toRestarted += atRestarted ? 1 : 0;
        harness.finishAfter(
            harness.lastAttempt(),
            atRestarted && i < 500 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
            100);
      }
    }
    assertTrue(
        toRestarted > 80,
        "attempts sent to the restarted endpoint after its restart: " + toRestarted);
  }

  @Test
  void aFaultyEndpointInTheOwnZoneIsAvoidedDespiteTheCrossZonePenalty() {
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
    long toFaulty = 0;
    for (int i = 0; i < 1_000; i++) {
      harness.request(i, 0);
      boolean inOwnZone = harness.lastAttempt().endpointId() == 1;
      toFaulty += inOwnZone ? 1 : 0;
      harness.finishAfter(
          harness.lastAttempt(),
          inOwnZone && i % 10 < 7 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
          100);
      // Statistics decay over this time, so that an endpoint that is avoided is tried again.
      harness.advance(40);
    }
    assertTrue(toFaulty > 5 && toFaulty < 250, toFaulty + " attempts sent to the faulty endpoint");
  }

  /**
   * An endpoint that fails within a few milliseconds has no attempts in flight. It must not attract
   * requests by looking less loaded than the endpoints that serve.
   */
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
    ArrayDeque<PolicyHarness.SentAttempt> inFlight = new ArrayDeque<>();
    int failedAttempts = 0;
    for (int i = 0; i < 1_000; i++) {
      harness.request(i, 0);
      if (harness.lastAttempt().endpointId() == 1 && i % 10 < 7) {
        failedAttempts++;
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.ERROR, 5);
      } else {
        inFlight.addLast(harness.lastAttempt());
      }
      // A served attempt takes 300 ms, so that the other endpoints always have some in flight.
      harness.advance(30);
      if (inFlight.size() > 10) {
        harness.finishAfter(inFlight.pollFirst(), AttemptOutcome.OK, 300);
      }
    }
    assertTrue(failedAttempts < 150, failedAttempts + " attempts failed at the faulty endpoint");
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
    long crossZone = harness.sentAttempts.stream().filter(sent -> sent.endpointId() == 2).count();
    assertTrue(crossZone > 0 && crossZone < 100, crossZone + " attempts sent to the other zone");
  }

  @Test
  void anEndpointThatFailsOneRequestClassStillGetsTheOther() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 3);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3),
        TestSettings.endpoint(4));
    int[] toFailingByClass = new int[2];
    for (int i = 0; i < 2_000; i++) {
      harness.request(i, i % 2);
      harness.advance(20);
      while (harness.isOpen(i)) {
        PolicyHarness.SentAttempt sent = harness.lastAttempt();
        toFailingByClass[i % 2] += sent.endpointId() == 1 ? 1 : 0;
        harness.finishAfter(
            sent,
            sent.endpointId() == 1 && i % 2 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
            100);
      }
    }
    // An even distribution over the four endpoints would give it 250 requests of each class.
    assertTrue(
        toFailingByClass[0] < 60,
        "attempts of the failing class at the endpoint that fails it: " + toFailingByClass[0]);
    assertTrue(
        toFailingByClass[1] > 150,
        "attempts of the served class at the endpoint that fails the other class: "
            + toFailingByClass[1]);
  }

  @Test
  void untriedEndpointsOfAFailingMachineTypeAreAvoided() {
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
      // Long enough for the statistics of an endpoint to decay before it is selected again.
      harness.advance(20_000);
    }
    assertTrue(toFailing < 10, "of 40 attempts, sent to the failing machine type: " + toFailing);
  }

  @Test
  void unrestrictedRequestsAvoidTheEndpointOfARestrictedClass() {
    PolicyHarness harness =
        new PolicyHarness(
            TestSettings.settings().allowedMachineTypes(1).lateResponseValue(0).build(), 1);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1),
        TestSettings.endpoint(2).machineType(1));
    // Unrestricted attempts after the first 200 requests, by endpoint ID; the rest at index 0.
    int[] unrestricted = new int[3];
    for (int i = 0; i < 600; i++) {
      harness.request(i, i % 2);
      harness.advance(20);
      if (harness.isOpen(i)) {
        unrestricted[i % 2 == 1 && i > 200 ? (int) harness.lastAttempt().endpointId() : 0]++;
        // Attempts of the restricted class are late, which raises its overload level. For the other
        // class both endpoints are equally fast, so that latency alone would distribute it evenly.
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, i % 2 == 0 ? 900 : 100);
      }
    }
    assertTrue(
        unrestricted[2] > 0 && unrestricted[2] < unrestricted[1] / 5,
        unrestricted[1]
            + " unrestricted attempts at endpoint 1; at that of the restricted class: "
            + unrestricted[2]);
  }
}
