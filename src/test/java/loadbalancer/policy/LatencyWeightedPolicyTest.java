package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import loadbalancer.model.PolicySettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Hand-made events in virtual time. */
class LatencyWeightedPolicyTest {

  private static final double NOW = 100_000;

  @Test
  void picksAreInProportionToOneOverL() {
    // Two servers, one answering in half the time of the other: it is drawn twice as often.
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().build(), 7);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    for (int i = 0; i < 2_000; i++) {
      bench.request(i, 0);
      bench.advance(bench.lastSend().upstream() == 1 ? 100 : 200);
      bench.finish(bench.lastSend(), AttemptOutcome.OK);
    }
    Map<Long, Integer> drawn = new HashMap<>();
    bench.sends.forEach(s -> drawn.merge(s.upstream(), 1, Integer::sum));
    // Both bases are pooled with two samples of their common mean, so the ratio lies a little under
    // 2.
    double ratio = drawn.get(1L) / (double) drawn.get(2L);
    assertTrue(ratio > 1.6 && ratio < 2.15, "ratio " + ratio);
  }

  @Test
  void failuresLowerAServersShareButDoNotEndIt() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 3);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    int toFailing = 0;
    for (int i = 0; i < 2_000; i++) {
      bench.request(i, 0);
      bench.advance(100);
      while (bench.isOpen(i)) {
        PolicyHarness.Sent sent = bench.lastSend();
        toFailing += sent.upstream() == 1 ? 1 : 0;
        bench.finish(sent, sent.upstream() == 1 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
      }
    }
    assertTrue(toFailing > 5 && toFailing < 300, "sent to the failing server: " + toFailing);
  }

  @Test
  void aHungServerLosesItsShareBeforeItsCallsTimeOut() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().repeat(Idempotency.AT_MOST_ONCE).build(), 5);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2),
        TestSettings.server(3));
    int hung = 0;
    for (int i = 0; i < 600; i++) {
      bench.request(i, 0);
      bench.advance(10);
      PolicyHarness.Sent sent = bench.lastSend();
      if (sent.upstream() != 1 || i < 300) {
        bench.finish(sent, AttemptOutcome.OK);
      } else {
        hung++;
      }
    }
    assertTrue(hung > 0 && hung < 30, "sent to the hung server: " + hung);
  }

  @Test
  void oneOverdueCallIsEnoughToAvoidItsServer() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().tier(1).repeat(Idempotency.AT_MOST_ONCE).build(), 5);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.request(0, 0);
    long hung = bench.lastSend().upstream();
    bench.advance(1_500);
    int toHung = 0;
    for (int i = 1; i <= 200; i++) {
      bench.request(i, 0);
      toHung += bench.lastSend().upstream() == hung ? 1 : 0;
      bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 100);
    }
    assertTrue(toHung < 20, "sent to the server with the overdue call: " + toHung);
  }

  @Test
  void anUnsafeRequestThatMayHaveRunFails() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().repeat(Idempotency.AT_MOST_ONCE).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.request(1, 0);
    bench.finish(bench.lastSend(), AttemptOutcome.TIMEOUT);
    assertEquals(1, bench.sends.size());
    assertEquals(List.of(1L), bench.failed);
    assertTrue(bench.refused.isEmpty());
  }

  @Test
  void anUnsafeRequestThatProvablyNeverRanIsSentAgain() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().repeat(Idempotency.AT_MOST_ONCE).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.request(1, 0);
    bench.finish(bench.lastSend(), AttemptOutcome.FULL);
    assertEquals(2, bench.sends.size());
    assertFalse(bench.sends.get(0).upstream() == bench.sends.get(1).upstream());
  }

  @Test
  void aKeyedRequestIsNotSentAgainWhereItsWindowMayEndBeforeItsConnectionIsUp() {
    // It may take 100 ms to connect.
    for (int[] waitAndSends : new int[][] {{395, 2}, {400, 1}, {499, 1}}) {
      PolicyHarness bench =
          new PolicyHarness(
              TestSettings.plain().tier(1).repeat(Idempotency.DEDUPLICATED).memory(500).build(), 1);
      bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
      bench.request(1, 0);
      bench.advance(waitAndSends[0]);
      bench.finish(bench.lastSend(), AttemptOutcome.RESET);
      assertEquals(waitAndSends[1], bench.sends.size(), "after " + waitAndSends[0] + " ms");
    }
  }

  @Test
  void aKeyedRequestStaysInItsGroupAndWindow() {
    PolicyHarness bench =
        new PolicyHarness(
            TestSettings.plain()
                .tier(1)
                .repeat(Idempotency.DEDUPLICATED)
                .group(DeduplicationScope.GROUP)
                .memory(500)
                .build(),
            1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1).cell(0),
        TestSettings.server(2).cell(0),
        TestSettings.server(3).cell(1));
    for (int i = 0; i < 50; i++) {
      bench.request(i, 0);
      PolicyHarness.Sent first = bench.lastSend();
      bench.finish(first, AttemptOutcome.ERROR);
      if (first.upstream() == 3) {
        assertTrue(bench.failed.contains((long) i) || bench.lastSend().upstream() == 3);
      } else {
        assertTrue(bench.lastSend().upstream() < 3);
      }
      if (bench.isOpen(i)) {
        int sent = bench.sends.size();
        bench.advance(500);
        bench.finish(bench.lastSend(), AttemptOutcome.ERROR);
        assertEquals(sent, bench.sends.size(), "sent after the window");
        assertTrue(bench.failed.contains((long) i));
      }
      bench.advance(2_000);
    }
  }

  @Test
  void nothingGoesToAServerThatDrainsOrIsGone() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().build(), 1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2),
        TestSettings.server(3));
    bench.list(
        EndpointUpdateType.DELTA,
        TestSettings.server(1).state(EndpointState.DRAINING),
        TestSettings.server(2).state(EndpointState.REMOVED));
    for (int i = 0; i < 100; i++) {
      bench.request(i, 0);
      assertEquals(3, bench.lastSend().upstream());
      bench.finish(bench.lastSend(), AttemptOutcome.OK);
    }
  }

  @Test
  void aRequestWithoutAnyReadyServerWaitsForOneAndIsAnsweredInTime() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().build(), 1);
    bench.list(EndpointUpdateType.CACHED);
    bench.request(1, 0);
    bench.request(2, 0);
    assertTrue(bench.isOpen(1) && bench.sends.isEmpty());
    bench.advance(100);
    bench.list(EndpointUpdateType.FULL, TestSettings.server(1));
    bench.advance(50);
    assertEquals(2, bench.sends.size());
    bench.list(EndpointUpdateType.DELTA, TestSettings.server(1).state(EndpointState.REMOVED));
    bench.request(3, 0);
    bench.advance(5_000);
    assertEquals(List.of(3L), bench.refused);
    // A request that nothing was sent for is given back while its client can still use its time.
    bench.request(4, 0);
    bench.advance(TestSettings.DEADLINE * 0.48);
    assertEquals(List.of(3L, 4L), bench.refused);
    assertTrue(
        bench.retryAfter > 0 && bench.retryAfter <= TestSettings.AIM / 2,
        "after " + bench.retryAfter);
  }

  @Test
  void aSecondCopyFollowsASlowCallAndTheLoserIsCancelled() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().parallel(true).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.request(1, 0);
    PolicyHarness.Sent first = bench.lastSend();
    bench.advance(1_000);
    assertEquals(2, bench.sends.size());
    bench.finish(bench.lastSend(), AttemptOutcome.OK);
    assertEquals(List.of(first), bench.cancelled);
    bench.finish(first, AttemptOutcome.CANCELLED);
    assertEquals(2, bench.sends.size());
  }

  @Test
  void extraAttemptsStayBoundedWhenEverythingFails() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2),
        TestSettings.server(3));
    for (int i = 0; i < 1_000; i++) {
      bench.request(i, 0);
      while (bench.isOpen(i)) {
        bench.finish(bench.lastSend(), AttemptOutcome.ERROR);
      }
      bench.advance(10);
    }
    int sends = bench.sends.size();
    assertTrue(sends > 1_050 && sends < 1_150, sends + " sends for 1000 requests");
  }

  @Test
  void attemptsThatReachedNoServerAreNotChargedToTheBudget() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().build(), 1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2),
        TestSettings.server(3),
        TestSettings.server(4),
        TestSettings.server(5));
    for (int i = 0; i < 40; i++) {
      bench.request(i, 0);
      for (int failed = 0; failed < 2; failed++) {
        int sends = bench.sends.size();
        bench.finish(bench.lastSend(), AttemptOutcome.CONNECT_FAILED);
        assertEquals(sends + 1, bench.sends.size(), "request " + i + " was given up");
      }
      bench.finish(bench.lastSend(), AttemptOutcome.OK);
      bench.advance(50);
    }
    // The cap on the attempts of one request holds all the same.
    int sends = bench.sends.size();
    bench.request(40, 0);
    for (int i = 0; i < 4; i++) {
      assertEquals(sends + i + 1, bench.sends.size());
      bench.finish(bench.lastSend(), AttemptOutcome.CONNECT_FAILED);
    }
    assertEquals(sends + 4, bench.sends.size());
    assertEquals(List.of(40L), bench.refused);
  }

  @Test
  void extraAttemptsThatServeAreNotBoundedByTheBudget() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2),
        TestSettings.server(3));
    int served = 0;
    for (int i = 0; i < 500; i++) {
      bench.request(i, 0);
      for (int attempt = 0; bench.isOpen(i); attempt++) {
        served += attempt;
        bench.finish(bench.lastSend(), attempt == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
      }
      bench.advance(10);
    }
    assertEquals(500, served);
  }

  @Test
  void idleConnectionsAreGivenBackOnlyToTheServerThatTurnsConnectionsAway() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.request(1, 0);
    bench.finish(bench.lastSend(), AttemptOutcome.OK);
    assertEquals(0, bench.closed);
    bench.request(2, 0);
    long full = bench.lastSend().upstream();
    bench.finish(bench.lastSend(), AttemptOutcome.CONNECT_FAILED);
    assertEquals(1, bench.closed);
    assertTrue(bench.lastSend().upstream() != full);
    bench.finish(bench.lastSend(), AttemptOutcome.OK);
    assertEquals(1, bench.closed, "the other server's connections are kept");
  }

  @Test
  void aColdServersShareStaysUnderItsBudgetWithoutAnyHistory() {
    int siblings = 60;
    int servers = 10;
    int toCold = 0;
    for (int s = 0; s < siblings; s++) {
      PolicyHarness bench = new PolicyHarness(TestSettings.plain().siblings(siblings).build(), s);
      TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[servers];
      for (int i = 0; i < servers; i++) {
        list[i] = TestSettings.server(i + 1);
      }
      list[0].startedAt(NOW);
      bench.list(EndpointUpdateType.CACHED, list);
      for (int i = 0; i < 40; i++) {
        bench.request(i, 0);
        toCold += bench.lastSend().upstream() == 1 ? 1 : 0;
        bench.finish(bench.lastSend(), AttemptOutcome.OK);
      }
    }
    // A warm server takes 240 of the 2400 calls; a cold one can do 0.2 of that and falls at 3 times
    // it.
    assertTrue(toCold > 0 && toCold < 0.2 * 3 * 240, "sent to the cold server: " + toCold);
  }

  @Test
  void aSubscriptionIsAskedForAtStartAndAgainAfterAFailure() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().subscribe(true).build(), 1);
    assertEquals(1, bench.watches);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1));
    bench.list(EndpointUpdateType.FAILED);
    assertEquals(1, bench.watches);
    bench.advance(10_000);
    assertEquals(2, bench.watches);
  }

  @Test
  void aFailedCallToTheRegistryIsMadeAgainSoonAndEverMoreRarelyAndNotInStep() {
    double[][] waits = new double[20][];
    for (int seed = 0; seed < waits.length; seed++) {
      PolicyHarness bench =
          new PolicyHarness(
              TestSettings.plain().subscribe(true).siblings(20).position(seed).build(), seed);
      bench.list(EndpointUpdateType.CACHED, TestSettings.server(1));
      waits[seed] = new double[7];
      for (int i = 0; i < 6; i++) {
        waits[seed][i] = waitToAskAgain(bench);
      }
      bench.list(EndpointUpdateType.DELTA, TestSettings.server(2));
      waits[seed][6] = waitToAskAgain(bench);
      // What a watch of 2 s in silence and two failures miss is asked for within 6 s.
      assertTrue(waits[seed][0] + waits[seed][1] < 1_000, Arrays.toString(waits[seed]));
      assertTrue(waits[seed][5] >= 1_000 && waits[seed][5] < 2_001, Arrays.toString(waits[seed]));
      assertTrue(waits[seed][6] < 500, Arrays.toString(waits[seed]));
    }
    for (int i = 0; i < 6; i++) {
      int failure = i;
      long instants =
          Arrays.stream(waits).mapToLong(wait -> (long) wait[failure] / 25).distinct().count();
      assertTrue(instants > 3, "copies ask at " + instants + " instants after failure " + i);
    }
  }

  @Test
  void whereNewsIsPushedTheNextCallComesWithinTheGraceOfADrainHoweverManyFailed() {
    double[] last = new double[20];
    for (int seed = 0; seed < last.length; seed++) {
      PolicySettings settings = TestSettings.plain().siblings(20).position(seed).build();
      PolicyHarness bench = new PolicyHarness(settings, seed);
      bench.list(EndpointUpdateType.CACHED, TestSettings.server(1));
      for (int i = 0; i < 8; i++) {
        // Half of it is left to ask and to be told.
        last[seed] = waitToAskAgain(bench);
        assertTrue(
            last[seed] <= settings.rules().drainGraceMillis() / 2 + 1, "asked after " + last[seed]);
      }
    }
    long instants = Arrays.stream(last).mapToLong(wait -> (long) wait / 25).distinct().count();
    assertTrue(instants > 3, "copies ask at " + instants + " instants");
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void theNextCallToTheRegistryNeverWaitsForAThirdOfTheTimeAfterWhichNewsCountsAsTold(
      boolean subscribe) {
    for (int seed = 0; seed < 20; seed++) {
      PolicyHarness bench =
          new PolicyHarness(
              TestSettings.plain()
                  .subscribe(subscribe)
                  .askEvery(600_000)
                  .drainGrace(600_000)
                  .build(),
              seed);
      bench.list(EndpointUpdateType.CACHED, TestSettings.server(1));
      for (int i = 0; i < 30; i++) {
        double wait = waitToAskAgain(bench);
        assertTrue(wait <= 2_001, "asked after " + wait + " ms, failure " + i);
      }
    }
  }

  /** Fails a call to the registry and returns after how many ms the next one comes. */
  private static double waitToAskAgain(PolicyHarness bench) {
    int watches = bench.watches;
    double failedAt = bench.now;
    bench.list(EndpointUpdateType.FAILED);
    for (int i = 0; i < 20_000 && bench.watches == watches; i++) {
      bench.advance(1);
    }
    assertEquals(watches + 1, bench.watches);
    return bench.now - failedAt;
  }

  @Test
  void sixInTenOfSixtyServersAreReplacedWithNoCallToThoseThatLeftAndNoRushToTheNew() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 1);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[60];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.server(i + 1);
    }
    bench.list(EndpointUpdateType.CACHED, list);
    double[] startedAt = new double[36];
    int[] early = new int[36];
    int[] all = new int[36];
    int id = 0;
    // One every 200 ms is replaced, then all is as it was for 20 s; 50 calls a second.
    for (int step = 0; step < 136; step++) {
      int left = Math.min(step + 1, 36);
      if (step < 36) {
        startedAt[step] = bench.now;
        bench.list(
            EndpointUpdateType.DELTA,
            TestSettings.server(step + 1).state(EndpointState.DRAINING),
            TestSettings.server(101 + step).startedAt(bench.now));
      }
      if (step >= 5 && step < 41) {
        bench.list(
            EndpointUpdateType.DELTA, TestSettings.server(step - 4).state(EndpointState.REMOVED));
      }
      for (int i = 0; i < 10; i++) {
        bench.request(id++, 0);
        long to = bench.lastSend().upstream();
        assertTrue(to > left, "a call to server " + to + ", which has left");
        if (to > 100) {
          int fresh = (int) to - 101;
          all[fresh]++;
          early[fresh] += bench.now - startedAt[fresh] < 1_500 ? 1 : 0;
        }
        bench.advance(20);
        bench.finish(bench.lastSend(), AttemptOutcome.OK);
      }
    }
    // A sixtieth of 75 calls in 1.5 s is 1.25; cold, it can do a fifth to a third of it.
    assertTrue(Arrays.stream(early).max().orElseThrow() <= 2, Arrays.toString(early));
    assertTrue(Arrays.stream(all).sum() > 300, Arrays.toString(all));
  }

  @Test
  void answersInNoTimeAtAllDoNotUpsetTheDraw() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    for (int i = 0; i < 3_000; i++) {
      bench.request(i, 0);
      bench.finish(bench.lastSend(), AttemptOutcome.OK);
    }
    assertEquals(3_000, bench.sends.size());
  }

  @Test
  void aColdServersEarningsAndItsRampBothHoldItBack() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 4);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[10];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.server(i + 1);
    }
    list[0].startedAt(NOW);
    bench.list(EndpointUpdateType.CACHED, list);
    int toCold = 0;
    for (int i = 0; i < 10_000; i++) {
      bench.request(i, 0);
      toCold += bench.lastSend().upstream() == 1 ? 1 : 0;
      bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 100);
    }
    // Its ramp alone would give it 0.2 of 9.2 shares (217 calls), its earnings 0.9 of that: 195.7.
    // None
    // of it is lost in waiting for a whole call to be earned and then for the draw.
    assertTrue(toCold >= 190 && toCold <= 196, "sent to the cold server: " + toCold);
  }

  @Test
  void aColdServerIsNotFloodedWhenAllOthersFail() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 4);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1).startedAt(NOW),
        TestSettings.server(2),
        TestSettings.server(3),
        TestSettings.server(4));
    int toCold = 0;
    for (int i = 0; i < 1_000; i++) {
      bench.request(i, 0);
      while (bench.isOpen(i)) {
        boolean cold = bench.lastSend().upstream() == 1;
        toCold += cold ? 1 : 0;
        bench.finish(bench.lastSend(), cold ? AttemptOutcome.OK : AttemptOutcome.ERROR);
      }
    }
    // 1100 calls over 3.2 warm servers' worth; it can do 0.2 of one share and falls at 3 times
    // that.
    assertTrue(toCold < 0.2 * 3 * 1_100 / 3.2, "sent to the cold server: " + toCold);
  }

  @Test
  void aRestartedServerIsColdAgain() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 4);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.list(EndpointUpdateType.DELTA, TestSettings.server(1).startedAt(NOW));
    int toCold = 0;
    for (int i = 0; i < 1_000; i++) {
      bench.request(i, 0);
      toCold += bench.lastSend().upstream() == 1 ? 1 : 0;
      bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 100);
    }
    assertTrue(toCold < 170, "sent to the restarted server: " + toCold);
  }

  @Test
  void aRestartClearsTheRecord() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 4);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    int toFirst = 0;
    for (int i = 0; i < 1_000; i++) {
      if (i == 500) {
        toFirst = 0;
        bench.list(EndpointUpdateType.DELTA, TestSettings.server(1).startedAt(NOW - 9_500));
      }
      bench.request(i, 0);
      while (bench.isOpen(i)) {
        boolean first = bench.lastSend().upstream() == 1;
        toFirst += first ? 1 : 0;
        bench.finishAfter(
            bench.lastSend(), first && i < 500 ? AttemptOutcome.ERROR : AttemptOutcome.OK, 100);
      }
    }
    assertTrue(toFirst > 80, "sent after the restart: " + toFirst);
  }

  @Test
  void aStrayTimerSendsNoSecondCopyWhereTwoAtOnceAreForbidden() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.request(1, 0);
    bench.timer(1 << 8);
    assertEquals(1, bench.sends.size());
  }

  @Test
  void anOutcomeThatCrossesTheClientsLeavingSendsNothing() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.request(1, 0);
    PolicyHarness.Sent sent = bench.lastSend();
    bench.clientGone(1);
    bench.finishUnclosed(sent, AttemptOutcome.FULL);
    assertEquals(1, bench.sends.size());
    assertTrue(bench.refused.isEmpty() && bench.failed.isEmpty());
  }

  @Test
  void underOverloadTheCheapClassIsRefusedFirstAndOnlyWhereClientsArrive() {
    for (int tier = 0; tier < 2; tier++) {
      PolicyHarness bench =
          new PolicyHarness(TestSettings.plain().tier(tier).lateWorth(0).build(), 1);
      bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
      int[] sent = new int[2];
      for (int i = 0; i < 400; i++) {
        int before = bench.sends.size();
        bench.request(i, i % 2);
        bench.advance(10);
        if (bench.sends.size() > before) {
          sent[i % 2]++;
          // A third of the calls take most of their aim.
          bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, i % 3 == 0 ? 700 : 100);
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
  void refusingEndsSoonAfterItsCauseEvenIfFewCallsAreLeftToTell() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().lateWorth(0).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    for (int i = 0; i < 200; i++) {
      bench.request(i, 0);
      bench.advance(20);
      if (bench.isOpen(i)) {
        bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 900);
      }
    }
    int refusedInTrouble = bench.refused.size();
    assertTrue(refusedInTrouble > 20, refusedInTrouble + " refused");
    for (int i = 200; i < 1_000; i++) {
      bench.request(i, 0);
      bench.advance(20);
      if (bench.isOpen(i)) {
        bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 50);
      }
      if (i == 600) {
        // Eight seconds on.
        refusedInTrouble = bench.refused.size();
      }
    }
    assertEquals(refusedInTrouble, bench.refused.size());
  }

  @Test
  void markedRetriesAreRefusedBeforeFirstTries() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().lateWorth(0).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    for (int i = 0; i < 400; i++) {
      if (i % 2 == 0) {
        bench.request(i, 0);
      } else {
        bench.retry(i, 0);
      }
      bench.advance(20);
      if (bench.isOpen(i)) {
        bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 900);
      }
    }
    long retries = bench.refused.stream().filter(id -> id % 2 == 1).count();
    long first = bench.refused.size() - retries;
    assertTrue(retries > 40 && first < retries / 4, retries + " retries and " + first + " others");
  }

  @Test
  void noSecondCopyIsSentWhileWorkIsRefused() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().parallel(true).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    for (int i = 0; i < 60; i++) {
      bench.request(i, 0);
      bench.advance(50);
      while (bench.isOpen(i)) {
        bench.finish(bench.lastSend(), AttemptOutcome.ERROR);
      }
    }
    // Otherwise a copy would follow after three times the first guess, 600 ms.
    int sends = bench.sends.size();
    for (int i = 60; bench.sends.size() == sends; i++) {
      bench.request(i, 0);
    }
    bench.advance(900);
    assertEquals(sends + 1, bench.sends.size());
  }

  @Test
  void overloadIsFeltWhileCallsAreStillOut() {
    PolicyHarness bench =
        new PolicyHarness(
            TestSettings.plain().repeat(Idempotency.AT_MOST_ONCE).lateWorth(0).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    int i = 0;
    for (; i < 40; i++) {
      bench.request(i, 0);
      bench.advance(20);
    }
    // No call has ended, but the oldest are past half their aim.
    int refused = bench.refused.size();
    for (; i < 60; i++) {
      bench.request(i, 0);
      bench.advance(20);
    }
    assertTrue(bench.refused.size() > refused, bench.refused.size() + " refused");
  }

  @Test
  void callsOfAJamSayNothingOfWhatWasRefusedSinceTheyWereSent() {
    PolicyHarness bench =
        new PolicyHarness(
            TestSettings.plain().repeat(Idempotency.AT_MOST_ONCE).lateWorth(0).build(), 1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2),
        TestSettings.server(3),
        TestSettings.server(4),
        TestSettings.server(5),
        TestSettings.server(6),
        TestSettings.server(7),
        TestSettings.server(8));
    for (int i = 0; i < 50; i++) {
      bench.request(i, 0);
      bench.advance(9);
    }
    // All of these become overdue, one after another; none was sent while anything was refused.
    assertTrue(bench.refused.isEmpty());
    bench.advance(1_000);
    for (int i = 50; i < 1_050; i++) {
      bench.request(i, 0);
      if (bench.isOpen(i)) {
        bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 50);
      }
    }
    int refused = bench.refused.size();
    assertTrue(refused > 200 && refused < 400, refused + " of 1000 refused");
  }

  @Test
  void aJamThatMustBeLateIsRefusedAtOnceBeforeAnyCallIsOverdue() {
    for (int tier = 0; tier < 2; tier++) {
      PolicyHarness bench =
          new PolicyHarness(TestSettings.plain().tier(tier).lateWorth(0).build(), 1);
      bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
      for (int i = 0; i < 100; i++) {
        bench.request(i, 1);
        bench.advance(1);
      }
      // A fifth of the aim is expected, with five calls beside each other: 25 would fill all of it.
      int cheap = bench.sends.size();
      for (int i = 100; i < 200; i++) {
        bench.request(i, 0);
      }
      int dear = bench.sends.size() - cheap;
      if (tier == 0) {
        assertTrue(cheap > 10 && dear > 0 && cheap + dear <= 50, cheap + " and " + dear + " sent");
        assertEquals(200 - cheap - dear, bench.refused.size());
      } else {
        assertEquals(100, cheap);
        assertEquals(100, dear);
      }
    }
  }

  @Test
  void aServerThatHangsIsNoReasonToRefuseWhatOthersServe() {
    PolicyHarness bench =
        new PolicyHarness(
            TestSettings.plain().repeat(Idempotency.AT_MOST_ONCE).lateWorth(0).build(), 1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2),
        TestSettings.server(3),
        TestSettings.server(4));
    int hung = 0;
    for (int i = 0; i < 400; ) {
      int sent = bench.sends.size();
      for (int end = i + 8; i < end; i++) {
        bench.request(i, 0);
      }
      bench.advance(100);
      for (PolicyHarness.Sent one : List.copyOf(bench.sends.subList(sent, bench.sends.size()))) {
        // It answers nothing; its calls become overdue while they are out.
        if (one.upstream() == 1) {
          hung++;
        } else {
          bench.finish(one, AttemptOutcome.OK);
        }
      }
    }
    assertTrue(hung > 3, hung + " at the server that hangs");
    assertEquals(List.of(), bench.refused);
  }

  @Test
  void aCopyThatRefusesNearlyAllFindsOutSoonThatTheJamIsOver() {
    PolicyHarness bench =
        new PolicyHarness(
            TestSettings.plain().repeat(Idempotency.AT_MOST_ONCE).lateWorth(0).build(), 1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2),
        TestSettings.server(3),
        TestSettings.server(4));
    int id = 0;
    for (int round = 0; round < 10; round++) {
      int sent = bench.sends.size();
      for (int i = 0; i < 100; i++) {
        bench.request(id++, 0);
      }
      bench.advance(TestSettings.AIM);
      List.copyOf(bench.sends.subList(sent, bench.sends.size()))
          .forEach(one -> bench.finish(one, AttemptOutcome.TIMEOUT));
    }
    int refused = bench.refused.size();
    for (int i = 0; i < 200; i++) {
      if (i == 50) {
        assertTrue(
            bench.refused.size() - refused > 10, bench.refused.size() - refused + " refused");
        refused = bench.refused.size();
      }
      bench.request(id, 0);
      bench.advance(100);
      if (bench.isOpen(id++)) {
        bench.finish(bench.lastSend(), AttemptOutcome.OK);
      }
    }
    // From five seconds after the jam on.
    assertEquals(refused, bench.refused.size());
  }

  @Test
  void errorsThatComeAtOnceAreNoSignOfOverload() {
    for (AttemptOutcome result : new AttemptOutcome[] {AttemptOutcome.ERROR, AttemptOutcome.FULL}) {
      PolicyHarness bench =
          new PolicyHarness(
              TestSettings.plain().repeat(Idempotency.AT_MOST_ONCE).lateWorth(0).build(), 1);
      bench.list(EndpointUpdateType.CACHED, TestSettings.server(1));
      for (int i = 0; i < 200; i++) {
        bench.request(i, 0);
        if (bench.isOpen(i)) {
          bench.finishAfter(bench.lastSend(), result, 5);
        }
      }
      long shed = 200 - bench.sends.stream().map(PolicyHarness.Sent::request).distinct().count();
      assertEquals(result == AttemptOutcome.FULL, shed > 0, shed + " refused without a try");
    }
  }

  @Test
  void aSickServerAtHomeIsLeftEvenWhereACrossingIsDear() {
    PolicyHarness bench =
        new PolicyHarness(
            TestSettings.plain().tier(1).repeat(Idempotency.AT_MOST_ONCE).crossZone(0.2).build(),
            1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2).zone(1),
        TestSettings.server(3).zone(1));
    long sick = 0;
    for (int i = 0; i < 1_000; i++) {
      bench.request(i, 0);
      boolean home = bench.lastSend().upstream() == 1;
      sick += home ? 1 : 0;
      bench.finishAfter(
          bench.lastSend(), home && i % 10 < 7 ? AttemptOutcome.ERROR : AttemptOutcome.OK, 100);
      // Evidence fades with time alone: a server that is left is tried again by and by.
      bench.advance(40);
    }
    assertTrue(sick > 5 && sick < 250, sick + " sent to the sick server");
  }

  @Test
  void aSickServerThatFailsAtOnceIsNotTakenForAFreeOne() {
    PolicyHarness bench =
        new PolicyHarness(
            TestSettings.plain().tier(1).repeat(Idempotency.AT_MOST_ONCE).crossZone(0.2).build(),
            1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2).zone(1),
        TestSettings.server(3).zone(1));
    ArrayDeque<PolicyHarness.Sent> out = new ArrayDeque<>();
    int lost = 0;
    for (int i = 0; i < 1_000; i++) {
      bench.request(i, 0);
      if (bench.lastSend().upstream() == 1 && i % 10 < 7) {
        lost++;
        bench.finishAfter(bench.lastSend(), AttemptOutcome.ERROR, 5);
      } else {
        out.addLast(bench.lastSend());
      }
      // What is served takes 300 ms, so that some calls are always in flight elsewhere.
      bench.advance(30);
      if (out.size() > 10) {
        bench.finishAfter(out.pollFirst(), AttemptOutcome.OK, 300);
      }
    }
    assertTrue(lost < 150, lost + " lost at the sick server");
  }

  @Test
  void aDearCrossingIsRareAndAPreferredPartTakesMostCalls() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().tier(1).crossZone(0.03).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2).zone(1));
    for (int i = 0; i < 1_000; i++) {
      bench.request(i, 0);
      bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 100);
    }
    long crossed = bench.sends.stream().filter(s -> s.upstream() == 2).count();
    assertTrue(crossed > 0 && crossed < 100, crossed + " crossed");
  }

  @Test
  void whereEvidenceIsThinMostCallsGoToASubsetThatIsBalancedOverInstances() {
    int siblings = 40;
    int[] drawn = new int[49];
    int inEight = 0;
    for (int position = 0; position < siblings; position++) {
      PolicyHarness bench =
          new PolicyHarness(
              TestSettings.plain().tier(1).siblings(siblings).position(position).build(), 1);
      TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[48];
      for (int i = 0; i < list.length; i++) {
        list[i] = TestSettings.server(i + 1).kind(i % 2);
      }
      bench.list(EndpointUpdateType.CACHED, list);
      int[] own = new int[49];
      for (int i = 0; i < 100; i++) {
        bench.request(i, 0);
        own[(int) bench.lastSend().upstream()]++;
        drawn[(int) bench.lastSend().upstream()]++;
        bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 200);
        bench.advance(1_000);
      }
      inEight += Arrays.stream(own).sorted().skip(41).sum();
    }
    assertTrue(inEight > 0.8 * 4_000, inEight + " of 4000 in the eight most used of each");
    // 83 each on average.
    int most = Arrays.stream(drawn).max().orElseThrow();
    int least = Arrays.stream(drawn).skip(1).min().orElseThrow();
    assertTrue(most < 150 && least > 40, "from " + least + " to " + most);
  }

  @Test
  void whereServersAreKnownTheSubsetHardlyCounts() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 1);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[48];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.server(i + 1);
    }
    bench.list(EndpointUpdateType.CACHED, list);
    int[] drawn = new int[49];
    for (int i = 0; i < 8_000; i++) {
      bench.request(i, 0);
      drawn[(int) bench.lastSend().upstream()] += i < 4_000 ? 0 : 1;
      bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, 200);
    }
    int inEight = Arrays.stream(drawn).sorted().skip(41).sum();
    assertTrue(inEight < 1_200, inEight + " of 4000 in the eight most used");
  }

  @Test
  void aSubsetWhoseServersFailIsLeft() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 1);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[48];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.server(i + 1);
    }
    bench.list(EndpointUpdateType.CACHED, list);
    Set<Long> failing = new HashSet<>();
    int served = 0;
    for (int i = 0; i < 400; i++) {
      bench.request(i, 0);
      if (failing.size() < 8) {
        failing.add(bench.lastSend().upstream());
      }
      while (bench.isOpen(i)) {
        boolean fails = failing.contains(bench.lastSend().upstream());
        served += fails || i < 200 ? 0 : 1;
        bench.finishAfter(bench.lastSend(), fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 200);
      }
      bench.advance(100);
    }
    assertTrue(served > 150, served + " of 200 served");
  }

  @Test
  void workStopsAtTheAimWhereALateAnswerIsWorthNothing() {
    PolicyHarness bench =
        new PolicyHarness(
            TestSettings.plain().repeat(Idempotency.AT_MOST_ONCE).lateWorth(0).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1));
    bench.request(1, 0);
    assertEquals(TestSettings.AIM, bench.lastSend().timeout());
  }

  @Test
  void aStartedStreamIsLeftAloneAndItsCopiesAreNot() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().streamed(true).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1));
    bench.request(1, 0);
    bench.streamStarted(bench.lastSend());
    bench.advance(10_000);
    bench.finish(bench.lastSend(), AttemptOutcome.OK);
    assertEquals(1, bench.sends.size());
    assertTrue(bench.cancelled.isEmpty() && bench.failed.isEmpty() && bench.refused.isEmpty());
  }

  @Test
  void aServerThatFailsOneClassLosesThatClassAndKeepsTheOther() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 3);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1),
        TestSettings.server(2),
        TestSettings.server(3),
        TestSettings.server(4));
    int[] toFailing = new int[2];
    for (int i = 0; i < 2_000; i++) {
      bench.request(i, i % 2);
      bench.advance(20);
      while (bench.isOpen(i)) {
        PolicyHarness.Sent sent = bench.lastSend();
        toFailing[i % 2] += sent.upstream() == 1 ? 1 : 0;
        bench.finishAfter(
            sent,
            sent.upstream() == 1 && i % 2 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
            100);
      }
    }
    // A quarter would be 250 of each.
    assertTrue(toFailing[0] < 60, "of the failing class: " + toFailing[0]);
    assertTrue(toFailing[1] > 150, "of the other: " + toFailing[1]);
  }

  @Test
  void aMachineTypeThatFailsIsAvoidedAlsoAtServersNotYetTried() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().tier(1).repeat(Idempotency.AT_MOST_ONCE).build(), 3);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[80];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.server(i + 1).kind(i % 2);
    }
    bench.list(EndpointUpdateType.CACHED, list);
    int toFailing = 0;
    for (int i = 0; i < 60; i++) {
      bench.request(i, 0);
      boolean failing = bench.lastSend().upstream() % 2 == 0;
      toFailing += failing && i >= 20 ? 1 : 0;
      bench.finishAfter(bench.lastSend(), failing ? AttemptOutcome.ERROR : AttemptOutcome.OK, 100);
      // So rarely that no server's own record lasts until it is met again.
      bench.advance(20_000);
    }
    assertTrue(toFailing < 10, "of 40 calls to the failing type: " + toFailing);
  }

  // ---- Rule 5, order
  // -------------------------------------------------------------------------------

  @Test
  void requestsOfOneKeyTakeTurnsInOrderOfArrivalAndOthersAreFree() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().inOrder(true).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.keyed(1, 0, 7);
    bench.keyed(2, 1, 7);
    bench.keyed(3, 0, 8);
    bench.keyed(4, 0, 0);
    bench.keyed(5, 0, 0);
    assertEquals(
        List.of(1L, 3L, 4L, 5L), bench.sends.stream().map(PolicyHarness.Sent::request).toList());
    bench.advance(50);
    bench.finish(bench.sends.get(0), AttemptOutcome.OK);
    assertEquals(2, bench.lastSend().request());
  }

  @Test
  void aKeyRestsAfterAnAttemptThatMayStillRunAlsoWhenItsClientHasLeft() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().inOrder(true).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.keyed(1, 0, 7);
    bench.keyed(2, 0, 7);
    bench.clientGone(1);
    bench.advance(100);
    assertEquals(1, bench.sends.size(), "an attempt of the first is still out");
    bench.finish(bench.lastSend(), AttemptOutcome.CANCELLED);
    bench.advance(99);
    assertEquals(1, bench.sends.size(), "the key rests");
    bench.advance(2);
    assertEquals(2, bench.lastSend().request());
  }

  @Test
  void theRequestWhoseTurnItIsMayBeSentAgain() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().inOrder(true).tier(1).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.keyed(1, 0, 7);
    bench.keyed(2, 0, 7);
    bench.finish(bench.lastSend(), AttemptOutcome.RESET);
    assertEquals(1, bench.lastSend().request());
    assertEquals(2, bench.sends.size());
  }

  @Test
  void aRequestWhoseTurnCannotComeInTimeIsRefusedOnArrival() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().inOrder(true).lateWorth(0).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    for (int i = 1; i <= 20; i++) {
      bench.keyed(i, 0, 7);
    }
    // The first guess is 200 ms a call and the aim 1000 ms: five or so have a chance.
    assertEquals(1, bench.sends.size());
    assertTrue(bench.refused.size() > 10 && bench.refused.size() < 18, bench.refused + " refused");
    assertTrue(bench.isOpen(2) && !bench.isOpen(20));
  }

  @Test
  void aWaitingRequestIsAnsweredInTime() {
    PolicyHarness bench =
        new PolicyHarness(
            TestSettings.plain().inOrder(true).repeat(Idempotency.AT_MOST_ONCE).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2));
    bench.keyed(1, 0, 7);
    bench.keyed(2, 0, 7);
    bench.advance(2_000);
    assertEquals(List.of(2L), bench.refused);
  }

  // ---- Rule 6, placement
  // ---------------------------------------------------------------------------

  @Test
  void aBoundClassGoesOnlyWhereItMayAlsoWhenItsServersFail() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().onlyZones(1).onlyKinds(1).tier(1).build(), 1);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1).zone(1),
        TestSettings.server(2).kind(1),
        TestSettings.server(3).zone(1).kind(1));
    for (int i = 0; i < 200; i++) {
      bench.request(i, 0);
      while (bench.isOpen(i)) {
        assertEquals(3, bench.lastSend().upstream());
        bench.finish(bench.lastSend(), i % 2 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
      }
    }
  }

  @Test
  void aBoundClassWithoutAServerIsHeldAndAnOpenOneIsNot() {
    for (Integer[] kinds : new Integer[][] {{1}, {}}) {
      PolicyHarness bench = new PolicyHarness(TestSettings.plain().onlyKinds(kinds).build(), 1);
      bench.list(EndpointUpdateType.CACHED, TestSettings.server(1));
      bench.request(1, 0);
      bench.request(2, 1);
      assertEquals(2, bench.lastSend().request());
      assertTrue(bench.isOpen(1));
      bench.list(EndpointUpdateType.DELTA, TestSettings.server(2).kind(1));
      bench.advance(100);
      assertEquals(kinds.length == 1 ? 1 : 2, bench.lastSend().request());
      bench.advance(2_000);
      assertEquals(kinds.length == 1, bench.refused.isEmpty());
    }
  }

  @Test
  void overloadOfABoundClassRefusesNothingOfTheOthers() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().onlyKinds(1).lateWorth(0).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2).kind(1));
    int[] refused = new int[2];
    for (int i = 0; i < 400; i++) {
      bench.request(i, i % 2);
      bench.advance(20);
      if (bench.isOpen(i)) {
        bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, i % 2 == 0 ? 900 : 100);
      } else {
        refused[i % 2]++;
      }
    }
    assertTrue(refused[0] > 40, refused[0] + " refused of the bound class");
    assertEquals(0, refused[1]);
  }

  @Test
  void thoseWhoMayGoElsewhereMakeRoomForABoundClass() {
    PolicyHarness bench =
        new PolicyHarness(TestSettings.plain().onlyKinds(1).lateWorth(0).build(), 1);
    bench.list(EndpointUpdateType.CACHED, TestSettings.server(1), TestSettings.server(2).kind(1));
    int[] free = new int[3];
    for (int i = 0; i < 600; i++) {
      bench.request(i, i % 2);
      bench.advance(20);
      if (bench.isOpen(i)) {
        free[i % 2 == 1 && i > 200 ? (int) bench.lastSend().upstream() : 0]++;
        // Equally quick for the free class, so that latencies alone would share it evenly.
        bench.finishAfter(bench.lastSend(), AttemptOutcome.OK, i % 2 == 0 ? 900 : 100);
      }
    }
    assertTrue(free[2] > 0 && free[2] < free[1] / 5, free[1] + " and " + free[2]);
  }

  // ---- Rule 4 when nothing is warm
  // -----------------------------------------------------------------

  @Test
  void aFleetThatIsColdAsAWholeIsNotLeftIdle() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 4);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1).startedAt(NOW),
        TestSettings.server(2).startedAt(NOW),
        TestSettings.server(3).startedAt(NOW),
        TestSettings.server(4).startedAt(NOW));
    for (int i = 0; i < 400; i++) {
      bench.request(i, 0);
      int before = bench.sends.size();
      bench.advance(5);
      for (PolicyHarness.Sent s :
          bench.sends.subList(Math.max(0, before - 1), bench.sends.size())) {
        if (bench.isOpen(s.request())) {
          bench.finish(s, AttemptOutcome.OK);
        }
      }
    }
    // All can do a fifth of their capacity and fall at three times that; half of 400 is far from
    // both.
    int sent = bench.sends.size();
    assertTrue(sent > 60 && sent < 0.2 * 3 * 400, sent + " sent");
  }

  @Test
  void oneLookForAServerStandsForAllOfAClassThatAreHeld() {
    PolicyHarness bench = new PolicyHarness(TestSettings.plain().tier(1).build(), 4);
    bench.list(
        EndpointUpdateType.CACHED,
        TestSettings.server(1).startedAt(NOW),
        TestSettings.server(2).startedAt(NOW));
    int requests = 200;
    double apart = 0.3;
    double deadline = bench.now + 10_000;
    for (int i = 0; i < requests; i++) {
      bench.request(i, 0, deadline, 0);
      bench.advance(apart);
    }
    bench.advance(20);
    int held = bench.open.size() - bench.sends.size();
    assertTrue(held > requests / 2, held + " held");
    // They came one after another; were each to look for itself, there would be a look every 0.3
    // ms.
    long looks = bench.timesAhead(20);
    assertTrue(looks <= 2, looks + " times to look within 20 ms");
    // And none waits for the others' look when its own time to be held is over.
    bench.request(requests, 0, bench.now + 35, 0);
    bench.advance(35 * 0.45 + 0.001);
    assertFalse(bench.isOpen(requests), "held for too long");
    bench.advance(20);
    // Its own earnings may have sent one of the others by now; none but itself has got its answer.
    assertEquals(List.of((long) requests), bench.refused);
    assertEquals(List.of(), bench.failed);
    assertEquals(requests, bench.open.size(), "still open");
    int stillHeld = bench.open.size() - bench.sends.size();
    assertTrue(
        stillHeld == held || stillHeld == held - 1, stillHeld + " of " + held + " still held");
  }
}
