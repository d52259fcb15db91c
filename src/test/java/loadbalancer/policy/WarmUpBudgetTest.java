package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;
import org.junit.jupiter.api.Test;

/**
 * Tests the warm-up budget that a single instance grants. {@link SlowStartTest} simulates many
 * instances that share their traffic.
 */
class WarmUpBudgetTest {

  /** The time at which a {@link PolicyHarness} starts. */
  private static final double START_MILLIS = 100_000;

  @Test
  void aWarmingEndpointStaysWithinItsBudgetFromTheFirstRequests() {
    int instances = 60;
    int endpoints = 10;
    int toWarming = 0;
    for (int instance = 0; instance < instances; instance++) {
      PolicyHarness harness =
          new PolicyHarness(TestSettings.settings().instanceCount(instances).build(), instance);
      TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[endpoints];
      for (int i = 0; i < endpoints; i++) {
        list[i] = TestSettings.endpoint(i + 1);
      }
      list[0].startedAt(START_MILLIS);
      harness.updateEndpoints(EndpointUpdateType.CACHED, list);
      for (int i = 0; i < 40; i++) {
        harness.request(i, 0);
        toWarming += harness.lastAttempt().endpointId() == 1 ? 1 : 0;
        harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
      }
    }
    // With an even distribution each of the 10 endpoints would get 240 of the 2400 attempts. A
    // warming one starts with 0.2 of its full capacity and collapses at 3 times that.
    assertTrue(
        toWarming > 0 && toWarming < 0.2 * 3 * 240,
        "attempts sent to the warming endpoint: " + toWarming);
  }

  @Test
  void aRollingReplacementSendsNothingToRemovedEndpointsAndDoesNotOverloadNewOnes() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 1);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[60];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.endpoint(i + 1);
    }
    harness.updateEndpoints(EndpointUpdateType.CACHED, list);
    double[] startedAtMillis = new double[36];
    int[] earlyAttempts = new int[36];
    int[] allAttempts = new int[36];
    int requestId = 0;
    // A step takes 200 ms and has 10 requests. In each of the first 36 steps an endpoint begins to
    // drain and a new one starts; 5 steps later the draining one is removed. The other 100 steps
    // have no replacement.
    for (int step = 0; step < 136; step++) {
      int replaced = Math.min(step + 1, 36);
      if (step < 36) {
        startedAtMillis[step] = harness.now;
        harness.updateEndpoints(
            EndpointUpdateType.DELTA,
            TestSettings.endpoint(step + 1).state(EndpointState.DRAINING),
            TestSettings.endpoint(101 + step).startedAt(harness.now));
      }
      if (step >= 5 && step < 41) {
        harness.updateEndpoints(
            EndpointUpdateType.DELTA, TestSettings.endpoint(step - 4).state(EndpointState.REMOVED));
      }
      for (int i = 0; i < 10; i++) {
        harness.request(requestId++, 0);
        long endpointId = harness.lastAttempt().endpointId();
        assertTrue(
            endpointId > replaced,
            "attempt at endpoint " + endpointId + ", which drains or is removed");
        if (endpointId > 100) {
          int newEndpoint = (int) endpointId - 101;
          allAttempts[newEndpoint]++;
          earlyAttempts[newEndpoint] += harness.now - startedAtMillis[newEndpoint] < 1_500 ? 1 : 0;
        }
        harness.advance(20);
        harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
      }
    }
    // A warm endpoint gets 1/60 of the 75 attempts in 1.5 s, or 1.25. In its first 1.5 s a new one
    // has between a fifth and a third of the capacity of a warm one.
    assertTrue(
        Arrays.stream(earlyAttempts).max().orElseThrow() <= 2,
        "attempts in the first 1.5 s of each new endpoint: " + Arrays.toString(earlyAttempts));
    assertTrue(
        Arrays.stream(allAttempts).sum() > 300,
        "attempts at each new endpoint: " + Arrays.toString(allAttempts));
  }

  @Test
  void aWarmingEndpointGetsItsBudgetAndNoMore() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[10];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.endpoint(i + 1);
    }
    list[0].startedAt(START_MILLIS);
    harness.updateEndpoints(EndpointUpdateType.CACHED, list);
    int toWarming = 0;
    for (int i = 0; i < 10_000; i++) {
      harness.request(i, 0);
      toWarming += harness.lastAttempt().endpointId() == 1 ? 1 : 0;
      harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 100);
    }
    // Time stands still at the start of the warm-up. The endpoint then has 0.2 of the capacity of a
    // warm one, out of a total of 9.2: 217 of the 10,000 attempts. Its budget is 0.9 of that, or
    // 195.7. The selection probabilities taken from the budget are added up, and an attempt is sent
    // each time their sum reaches 1; no part of the budget may be lost in this.
    assertTrue(
        toWarming >= 190 && toWarming <= 196,
        "attempts sent to the warming endpoint: " + toWarming);
  }

  @Test
  void aWarmingEndpointIsNotOverloadedWhenAllOthersFail() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1).startedAt(START_MILLIS),
        TestSettings.endpoint(2),
        TestSettings.endpoint(3),
        TestSettings.endpoint(4));
    int toWarming = 0;
    for (int i = 0; i < 1_000; i++) {
      harness.request(i, 0);
      while (harness.isOpen(i)) {
        boolean warming = harness.lastAttempt().endpointId() == 1;
        toWarming += warming ? 1 : 0;
        harness.finish(harness.lastAttempt(), warming ? AttemptOutcome.OK : AttemptOutcome.ERROR);
      }
    }
    // There are about 1100 attempts for the capacity of 3.2 warm endpoints. The warming endpoint
    // has 0.2 of the capacity of a warm one and collapses at 3 times that.
    assertTrue(
        toWarming < 0.2 * 3 * 1_100 / 3.2, "attempts sent to the warming endpoint: " + toWarming);
  }

  @Test
  void aRestartedEndpointWarmsUpAgain() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.updateEndpoints(
        EndpointUpdateType.DELTA, TestSettings.endpoint(1).startedAt(START_MILLIS));
    int toWarming = 0;
    for (int i = 0; i < 1_000; i++) {
      harness.request(i, 0);
      toWarming += harness.lastAttempt().endpointId() == 1 ? 1 : 0;
      harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 100);
    }
    assertTrue(toWarming < 170, "attempts sent to the restarted endpoint: " + toWarming);
  }

  @Test
  void endpointsAreNotIdleWhenAllWarmUpAtOnce() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1).startedAt(START_MILLIS),
        TestSettings.endpoint(2).startedAt(START_MILLIS),
        TestSettings.endpoint(3).startedAt(START_MILLIS),
        TestSettings.endpoint(4).startedAt(START_MILLIS));
    for (int i = 0; i < 400; i++) {
      harness.request(i, 0);
      int attemptsBefore = harness.sentAttempts.size();
      harness.advance(5);
      for (PolicyHarness.SentAttempt sent :
          harness.sentAttempts.subList(
              Math.max(0, attemptsBefore - 1), harness.sentAttempts.size())) {
        if (harness.isOpen(sent.requestId())) {
          harness.finish(sent, AttemptOutcome.OK);
        }
      }
    }
    // The endpoints have 0.2 of their full capacity and collapse at 3 times that.
    int attempts = harness.sentAttempts.size();
    assertTrue(attempts > 60 && attempts < 0.2 * 3 * 400, attempts + " attempts sent");
  }
}
