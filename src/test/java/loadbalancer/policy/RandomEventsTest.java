package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.Idempotency;
import org.junit.jupiter.api.Test;

/**
 * Random legal event sequences; the rules are checked after every step against the test's own
 * record.
 */
class RandomEventsTest {

  @Test
  void rulesHoldAfterEveryStep() {
    for (long seed = 1; seed <= 300; seed++) {
      Driver run = new Driver(seed);
      for (int step = 0; step < 300; step++) {
        run.step();
        run.check("seed " + seed + " step " + step);
      }
      run.drain("seed " + seed);
    }
  }

  @Test
  void theSameEventsGiveTheSameActions() {
    Driver one = new Driver(77);
    Driver two = new Driver(77);
    for (int step = 0; step < 500; step++) {
      one.step();
      two.step();
      one.check("one");
      two.check("two");
    }
    assertFalse(one.harness.sentAttempts.isEmpty());
    assertEquals(one.harness.sentAttempts, two.harness.sentAttempts);
    assertEquals(one.harness.rejected, two.harness.rejected);
  }

  /** One instance under random events, with the record that its actions are checked against. */
  private static final class Driver {
    private static final int ENDPOINTS = 6;
    private static final double SETTLE = 100;
    private static final AttemptOutcome[] UNSERVED = {
      AttemptOutcome.ERROR,
      AttemptOutcome.REJECTED,
      AttemptOutcome.TIMEOUT,
      AttemptOutcome.CONNECT_FAILED,
      AttemptOutcome.RESET,
      AttemptOutcome.NOT_SENT
    };

    private final SplittableRandom random;
    private final Idempotency idempotency;
    private final DeduplicationScope deduplicationScope;
    private final boolean parallelAttempts;
    private final boolean streamed;
    private final boolean orderedByKey;
    private final boolean restricted;
    private final PolicyHarness harness;
    private final TestSettings.EndpointBuilder[] endpoints =
        new TestSettings.EndpointBuilder[ENDPOINTS];
    private final EndpointState[] states = new EndpointState[ENDPOINTS];

    /** Attempts that are still running. */
    private final List<PolicyHarness.SentAttempt> out = new ArrayList<>();

    private final Map<Long, List<PolicyHarness.SentAttempt>> byRequest = new HashMap<>();
    private final Set<PolicyHarness.SentAttempt> provenUnrun = new HashSet<>();
    private final Map<Long, Double> deadlines = new HashMap<>();
    private final Set<Long> streaming = new HashSet<>();
    private final Set<Long> servedOrGone = new HashSet<>();
    private final Map<Long, Integer> classOf = new HashMap<>();
    private final Map<Long, Long> keyOf = new HashMap<>();

    /** From when on no abandoned attempt of a request counts as running. */
    private final Map<Long, Double> keyFreeAt = new HashMap<>();

    /** For each endpoint since it was last listed anew: its start, attempts, granted budget. */
    private final double[] started = new double[ENDPOINTS];

    private final int[] sentTo = new int[ENDPOINTS];
    private final double[] granted = new double[ENDPOINTS];
    private int seen;
    private int rejectedSeen;
    private long nextId;

    Driver(long seed) {
      random = new SplittableRandom(seed);
      idempotency = Idempotency.values()[random.nextInt(3)];
      deduplicationScope = DeduplicationScope.values()[random.nextInt(3)];
      parallelAttempts = random.nextBoolean();
      streamed = random.nextInt(4) == 0;
      orderedByKey = !streamed && random.nextBoolean();
      restricted = random.nextInt(3) == 0;
      TestSettings.Builder site =
          TestSettings.settings()
              .idempotency(idempotency)
              .deduplicationScope(deduplicationScope)
              .deduplicationWindowMillis(700)
              .parallelAttempts(parallelAttempts)
              .streamed(streamed)
              .orderedByKey(orderedByKey)
              .instanceCount(3)
              .lateResponseValue(random.nextBoolean() ? 0.3 : 0);
      harness =
          new PolicyHarness(
              (restricted ? site.allowedZones(1).allowedMachineTypes(0) : site).build(), seed);
      for (int i = 0; i < ENDPOINTS; i++) {
        endpoints[i] =
            TestSettings.endpoint(i + 1).zone(i % 2).deduplicationGroup(i / 2).machineType(i / 4);
        states[i] = EndpointState.READY;
      }
      harness.updateEndpoints(EndpointUpdateType.CACHED, endpoints);
    }

    private void step() {
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> arrive();
        case 4, 5, 6, 7 -> finishOne();
        case 8 -> changeList();
        case 9 -> leave();
        case 10 -> stream();
        default -> advance(random.nextDouble() * 200);
      }
    }

    private void arrive() {
      long id = nextId++;
      double deadline = harness.now + random.nextInt(-20, 2_000);
      deadlines.put(id, deadline);
      classOf.put(id, random.nextInt(2));
      keyOf.put(id, (long) random.nextInt(4));
      grant(classOf.get(id));
      harness.request(
          id,
          classOf.get(id),
          deadline,
          random.nextInt(3) == 0 ? random.nextInt(100) : 0,
          keyOf.get(id));
    }

    /** Whether a request's class may go to an endpoint at all. */
    private boolean open(int requestClass, int endpoint) {
      return !restricted || requestClass == 1 || (endpoint % 2 == 1 && endpoint / 4 == 0);
    }

    /**
     * A warming endpoint is granted 0.9 of its present share, of half the open endpoints at least.
     */
    private void grant(int requestClass) {
      long usable = 0;
      for (int i = 0; i < ENDPOINTS; i++) {
        usable += states[i] == EndpointState.READY && open(requestClass, i) ? 1 : 0;
      }
      for (int i = 0; i < ENDPOINTS; i++) {
        if (usable > 0 && open(requestClass, i)) {
          double warmUpFraction = Math.min(1, 0.2 + 0.8 * (harness.now - started[i]) / 10_000);
          granted[i] += 0.9 * warmUpFraction / (usable / 2.0);
        }
      }
    }

    private void finishOne() {
      if (out.isEmpty()) {
        return;
      }
      PolicyHarness.SentAttempt sent = out.remove(random.nextInt(out.size()));
      AttemptOutcome result =
          random.nextInt(3) > 0 ? AttemptOutcome.OK : UNSERVED[random.nextInt(UNSERVED.length)];
      if (!harness.isOpen(sent.requestId())) {
        result = random.nextBoolean() ? AttemptOutcome.CANCELLED : result;
      }
      if (result == AttemptOutcome.OK) {
        servedOrGone.add(sent.requestId());
      }
      finish(sent, result);
    }

    private void finish(PolicyHarness.SentAttempt sent, AttemptOutcome result) {
      if (result.neverRan()) {
        provenUnrun.add(sent);
      }
      if (result == AttemptOutcome.TIMEOUT
          || result == AttemptOutcome.RESET
          || result == AttemptOutcome.CANCELLED) {
        keyFreeAt.put(sent.requestId(), harness.now + SETTLE);
      }
      harness.finish(sent, result);
    }

    private void changeList() {
      int i = random.nextInt(ENDPOINTS);
      states[i] = EndpointState.values()[random.nextInt(3)];
      if (random.nextBoolean()) {
        endpoints[i].startedAt(harness.now);
        started[i] = harness.now;
        listedAnew(i);
      }
      if (states[i] == EndpointState.REMOVED) {
        listedAnew(i);
      }
      if (random.nextInt(4) == 0) {
        List<TestSettings.EndpointBuilder> all = new ArrayList<>();
        for (int k = 0; k < ENDPOINTS; k++) {
          if (states[k] != EndpointState.REMOVED) {
            all.add(endpoints[k].state(states[k]));
          }
        }
        harness.updateEndpoints(
            EndpointUpdateType.FULL, all.toArray(TestSettings.EndpointBuilder[]::new));
      } else if (random.nextInt(5) == 0) {
        // The change is not notified: a failed call changes no state.
        harness.updateEndpoints(EndpointUpdateType.FAILED);
        states[i] = EndpointState.REMOVED;
        listedAnew(i);
        harness.updateEndpoints(
            EndpointUpdateType.DELTA, endpoints[i].state(EndpointState.REMOVED));
      } else {
        harness.updateEndpoints(EndpointUpdateType.DELTA, endpoints[i].state(states[i]));
      }
    }

    private void listedAnew(int endpoint) {
      sentTo[endpoint] = 0;
      granted[endpoint] = 0;
    }

    /** Slow start: one attempt at once and then what is granted. */
    private void checkWarmUpBudget(PolicyHarness.SentAttempt sent, String where) {
      int endpoint = (int) sent.endpointId() - 1;
      if (started[endpoint] != 0 && sent.atMillis() - started[endpoint] < 10_000) {
        sentTo[endpoint]++;
        assertTrue(
            sentTo[endpoint] <= 1 + granted[endpoint] + 1e-9,
            where + ": slow start: " + sentTo[endpoint] + " of " + granted[endpoint]);
      }
    }

    private void leave() {
      if (!harness.open.isEmpty() && random.nextInt(3) == 0) {
        long id = harness.open.stream().mapToLong(Long::longValue).min().orElseThrow();
        servedOrGone.add(id);
        harness.disconnectClient(id);
      }
    }

    private void stream() {
      if (streamed && !out.isEmpty()) {
        PolicyHarness.SentAttempt sent = out.get(random.nextInt(out.size()));
        if (harness.isOpen(sent.requestId()) && streaming.add(sent.requestId())) {
          harness.startStream(sent);
        }
      }
    }

    /**
     * Moves the clock on; reports timeouts as the host would, also of attempts that timers send.
     */
    private void advance(double ms) {
      double until = harness.now + ms;
      while (harness.now < until) {
        harness.advance(Math.min(5, until - harness.now));
        check("on the way");
        for (PolicyHarness.SentAttempt sent : List.copyOf(out)) {
          boolean due = !streaming.contains(sent.requestId()) && expiry(sent) <= harness.now;
          if (due && out.remove(sent)) {
            finish(sent, AttemptOutcome.TIMEOUT);
            check("timeout");
          }
        }
      }
    }

    private double expiry(PolicyHarness.SentAttempt sent) {
      return Math.min(
          sent.atMillis() + Math.max(0, sent.timeoutMillis()), deadlines.get(sent.requestId()));
    }

    private void check(String where) {
      for (; seen < harness.sentAttempts.size(); seen++) {
        PolicyHarness.SentAttempt sent = harness.sentAttempts.get(seen);
        checkSend(sent, where + ": " + sent);
        checkWarmUpBudget(sent, where + ": " + sent);
        byRequest.computeIfAbsent(sent.requestId(), k -> new ArrayList<>()).add(sent);
        out.add(sent);
      }
      for (; rejectedSeen < harness.rejected.size(); rejectedSeen++) {
        long id = harness.rejected.get(rejectedSeen);
        boolean maybeRun =
            byRequest.getOrDefault(id, List.of()).stream().anyMatch(s -> !provenUnrun.contains(s));
        assertTrue(
            !maybeRun
                || idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.DEDUPLICATED
                    && deduplicationScope == DeduplicationScope.ALL),
            where + ": rejected " + id);
      }
      Set<Long> answered = new HashSet<>(servedOrGone);
      for (long id : harness.rejected) {
        assertTrue(answered.add(id), where + ": second final answer for " + id);
      }
      for (long id : harness.failed) {
        assertTrue(answered.add(id), where + ": second final answer for " + id);
      }
      for (long id : harness.open) {
        assertTrue(
            streaming.contains(id) || harness.now <= deadlines.get(id) + 20,
            where + ": no answer in time for " + id);
      }
    }

    private void checkSend(PolicyHarness.SentAttempt sent, String where) {
      int endpoint = (int) sent.endpointId() - 1;
      assertEquals(EndpointState.READY, states[endpoint], where + ": not ready");
      assertTrue(open(classOf.get(sent.requestId()), endpoint), where + ": placement");
      checkOrder(sent, where);
      assertFalse(servedOrGone.contains(sent.requestId()), where + ": sent after the end");
      List<PolicyHarness.SentAttempt> earlier = byRequest.getOrDefault(sent.requestId(), List.of());
      assertTrue(earlier.size() < 4, where + ": too many attempts");
      assertTrue(
          parallelAttempts || earlier.stream().noneMatch(out::contains), where + ": two at once");
      for (PolicyHarness.SentAttempt before : earlier) {
        if (provenUnrun.contains(before) || idempotency == Idempotency.IDEMPOTENT) {
          continue;
        }
        assertTrue(idempotency == Idempotency.DEDUPLICATED, where + ": unsafe repeated");
        assertTrue(sent.atMillis() <= before.atMillis() + 700, where + ": outside the window");
        int was = (int) before.endpointId() - 1;
        assertTrue(
            deduplicationScope == DeduplicationScope.ALL
                || (deduplicationScope == DeduplicationScope.ZONE
                    ? was % 2 == endpoint % 2
                    : was / 2 == endpoint / 2),
            where + ": outside the group");
      }
    }

    /** Key order: ids rise in order of arrival; key 0 is no key. */
    private void checkOrder(PolicyHarness.SentAttempt sent, String where) {
      long key = keyOf.get(sent.requestId());
      for (long id = 0; orderedByKey && key != 0 && id < sent.requestId(); id++) {
        long before = id;
        if (keyOf.get(before) == key) {
          assertFalse(harness.isOpen(before), where + ": key order: before " + before);
          assertTrue(
              out.stream().noneMatch(other -> other.requestId() == before),
              where + ": key order: while an attempt of " + before + " is running");
          assertTrue(
              sent.atMillis() >= keyFreeAt.getOrDefault(before, 0.0),
              where + ": key order: before the key is free after " + before);
        }
      }
    }

    /** At the end every request has had its final response. */
    private void drain(String where) {
      advance(5_000);
      for (PolicyHarness.SentAttempt sent : List.copyOf(out)) {
        out.remove(sent);
        servedOrGone.add(sent.requestId());
        harness.finish(sent, AttemptOutcome.OK);
      }
      check(where);
      assertTrue(harness.open.isEmpty(), where + ": no response for " + harness.open);
    }
  }
}
