package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;
import org.junit.jupiter.api.Test;

/** The budget of warming endpoints within one instance; SlowStartTest has whole runs. */
class WarmUpBudgetTest {

  private static final double NOW = 100_000;

  @Test
  void aWarmingEndpointStaysWithinItsBudgetWithoutAnyHistory() {
    int instances = 60;
    int endpoints = 10;
    int toWarming = 0;
    for (int s = 0; s < instances; s++) {
      PolicyHarness harness =
          new PolicyHarness(TestSettings.settings().instanceCount(instances).build(), s);
      TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[endpoints];
      for (int i = 0; i < endpoints; i++) {
        list[i] = TestSettings.endpoint(i + 1);
      }
      list[0].startedAt(NOW);
      harness.updateEndpoints(EndpointUpdateType.CACHED, list);
      for (int i = 0; i < 40; i++) {
        harness.request(i, 0);
        toWarming += harness.lastAttempt().endpointId() == 1 ? 1 : 0;
        harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
      }
    }
    // A warm endpoint gets 240 of the 2400 attempts; a warming one has 0.2 of its capacity and
    // collapses at 3 times that.
    assertTrue(
        toWarming > 0 && toWarming < 0.2 * 3 * 240, "sent to the warming endpoint: " + toWarming);
  }

  @Test
  void aRollingReplacementSendsNothingToRemovedEndpointsAndDoesNotFloodNewOnes() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 1);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[60];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.endpoint(i + 1);
    }
    harness.updateEndpoints(EndpointUpdateType.CACHED, list);
    double[] startedAt = new double[36];
    int[] early = new int[36];
    int[] all = new int[36];
    int id = 0;
    // One endpoint is replaced every 200 ms, then none for 20 s; 50 requests a second.
    for (int step = 0; step < 136; step++) {
      int left = Math.min(step + 1, 36);
      if (step < 36) {
        startedAt[step] = harness.now;
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
        harness.request(id++, 0);
        long to = harness.lastAttempt().endpointId();
        assertTrue(to > left, "an attempt at endpoint " + to + ", which was removed");
        if (to > 100) {
          int fresh = (int) to - 101;
          all[fresh]++;
          early[fresh] += harness.now - startedAt[fresh] < 1_500 ? 1 : 0;
        }
        harness.advance(20);
        harness.finish(harness.lastAttempt(), AttemptOutcome.OK);
      }
    }
    // A sixtieth of 75 attempts in 1.5 s is 1.25; a warming endpoint can serve a fifth to a third.
    assertTrue(Arrays.stream(early).max().orElseThrow() <= 2, Arrays.toString(early));
    assertTrue(Arrays.stream(all).sum() > 300, Arrays.toString(all));
  }

  @Test
  void aWarmingEndpointGetsItsBudgetAndNoMore() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[10];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.endpoint(i + 1);
    }
    list[0].startedAt(NOW);
    harness.updateEndpoints(EndpointUpdateType.CACHED, list);
    int toWarming = 0;
    for (int i = 0; i < 10_000; i++) {
      harness.request(i, 0);
      toWarming += harness.lastAttempt().endpointId() == 1 ? 1 : 0;
      harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 100);
    }
    // Its warm-up fraction alone would give it 0.2 of 9.2 shares (217 attempts), its budget 0.9 of
    // that: 195.7. None of it is lost while waiting for a whole attempt.
    assertTrue(toWarming >= 190 && toWarming <= 196, "sent to the warming endpoint: " + toWarming);
  }

  @Test
  void aWarmingEndpointIsNotFloodedWhenAllOthersFail() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1).startedAt(NOW),
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
    // 1100 attempts over the capacity of 3.2 warm endpoints; it has 0.2 of one and collapses at 3
    // times that.
    assertTrue(toWarming < 0.2 * 3 * 1_100 / 3.2, "sent to the warming endpoint: " + toWarming);
  }

  @Test
  void aRestartedEndpointWarmsUpAgain() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED, TestSettings.endpoint(1), TestSettings.endpoint(2));
    harness.updateEndpoints(EndpointUpdateType.DELTA, TestSettings.endpoint(1).startedAt(NOW));
    int toWarming = 0;
    for (int i = 0; i < 1_000; i++) {
      harness.request(i, 0);
      toWarming += harness.lastAttempt().endpointId() == 1 ? 1 : 0;
      harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 100);
    }
    assertTrue(toWarming < 170, "sent to the restarted endpoint: " + toWarming);
  }

  @Test
  void endpointsThatAllWarmUpAreNotLeftIdle() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 4);
    harness.updateEndpoints(
        EndpointUpdateType.CACHED,
        TestSettings.endpoint(1).startedAt(NOW),
        TestSettings.endpoint(2).startedAt(NOW),
        TestSettings.endpoint(3).startedAt(NOW),
        TestSettings.endpoint(4).startedAt(NOW));
    for (int i = 0; i < 400; i++) {
      harness.request(i, 0);
      int before = harness.sentAttempts.size();
      harness.advance(5);
      for (PolicyHarness.SentAttempt s :
          harness.sentAttempts.subList(Math.max(0, before - 1), harness.sentAttempts.size())) {
        if (harness.isOpen(s.requestId())) {
          harness.finish(s, AttemptOutcome.OK);
        }
      }
    }
    // They have a fifth of their capacity and collapse at three times that.
    int sent = harness.sentAttempts.size();
    assertTrue(sent > 60 && sent < 0.2 * 3 * 400, sent + " sent");
  }
}
