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
 * Sends the policy random sequences of valid events. After every step, its actions are checked
 * against the test's own record of requests, attempts and endpoints.
 */
class RandomEventsTest {

  @Test
  void allRulesHoldAfterEveryStep() {
    for (long seed = 1; seed <= 300; seed++) {
      Driver driver = new Driver(seed);
      for (int step = 0; step < 300; step++) {
        driver.step();
        driver.check("seed " + seed + " step " + step);
      }
      driver.finishAll("seed " + seed);
    }
  }

  @Test
  void theSameEventsGiveTheSameActions() {
    Driver firstDriver = new Driver(77);
    Driver secondDriver = new Driver(77);
    for (int step = 0; step < 500; step++) {
      firstDriver.step();
      secondDriver.step();
      firstDriver.check("first driver");
      secondDriver.check("second driver");
    }
    assertFalse(firstDriver.harness.sentAttempts.isEmpty());
    assertEquals(firstDriver.harness.sentAttempts, secondDriver.harness.sentAttempts);
    assertEquals(firstDriver.harness.rejected, secondDriver.harness.rejected);
  }

  /** Sends random events to one instance and checks its actions. */
  private static final class Driver {
    private static final int ENDPOINTS = 6;
    private static final double KEY_SETTLE_MILLIS = 100;
    private static final AttemptOutcome[] FAILURE_OUTCOMES = {
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

    private final List<PolicyHarness.SentAttempt> runningAttempts = new ArrayList<>();

    private final Map<Long, List<PolicyHarness.SentAttempt>> attemptsByRequest = new HashMap<>();
    private final Set<PolicyHarness.SentAttempt> attemptsWithoutEffect = new HashSet<>();
    private final Map<Long, Double> deadlineMillisByRequest = new HashMap<>();
    private final Set<Long> streamingRequests = new HashSet<>();
    private final Set<Long> servedOrDisconnected = new HashSet<>();
    private final Map<Long, Integer> classByRequest = new HashMap<>();
    private final Map<Long, Long> keyByRequest = new HashMap<>();

    /** By request: until when its key stays reserved after an abandoned attempt. */
    private final Map<Long, Double> keyReservedUntilMillis = new HashMap<>();

    /** Start of each endpoint; 0 if it has not been restarted. */
    private final double[] startedAtMillis = new double[ENDPOINTS];

    /** Attempts sent to each endpoint while warming up, since it was last added to the list. */
    private final int[] warmUpAttempts = new int[ENDPOINTS];

    /** Upper bound of the warm-up budget of each endpoint, since it was last added to the list. */
    private final double[] grantedBudget = new double[ENDPOINTS];

    private int checkedAttempts;
    private int checkedRejections;
    private long nextRequestId;

    Driver(long seed) {
      random = new SplittableRandom(seed);
      idempotency = Idempotency.values()[random.nextInt(3)];
      deduplicationScope = DeduplicationScope.values()[random.nextInt(3)];
      parallelAttempts = random.nextBoolean();
      streamed = random.nextInt(4) == 0;
      orderedByKey = !streamed && random.nextBoolean();
      restricted = random.nextInt(3) == 0;
      TestSettings.Builder settings =
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
              (restricted ? settings.allowedZones(1).allowedMachineTypes(0) : settings).build(),
              seed);
      for (int i = 0; i < ENDPOINTS; i++) {
        endpoints[i] =
            TestSettings.endpoint(i + 1).zone(i % 2).deduplicationGroup(i / 2).machineType(i / 4);
        states[i] = EndpointState.READY;
      }
      harness.updateEndpoints(EndpointUpdateType.CACHED, endpoints);
    }

    private void step() {
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> sendRequest();
        case 4, 5, 6, 7 -> finishAttempt();
        case 8 -> changeEndpoints();
        case 9 -> disconnectClient();
        case 10 -> startStream();
        default -> advance(random.nextDouble() * 200);
      }
    }

    private void sendRequest() {
      long id = nextRequestId++;
      double deadlineMillis = harness.now + random.nextInt(-20, 2_000);
      deadlineMillisByRequest.put(id, deadlineMillis);
      classByRequest.put(id, random.nextInt(2));
      keyByRequest.put(id, (long) random.nextInt(4));
      grantWarmUpBudget(classByRequest.get(id));
      harness.request(
          id,
          classByRequest.get(id),
          deadlineMillis,
          random.nextInt(3) == 0 ? random.nextInt(100) : 0,
          keyByRequest.get(id));
    }

    /** Whether the placement of a class allows an endpoint. */
    private boolean mayBeSentTo(int requestClass, int endpoint) {
      return !restricted || requestClass == 1 || (endpoint % 2 == 1 && endpoint / 4 == 0);
    }

    /**
     * Adds the largest warm-up budget that an arriving request may grant each endpoint: 0.9 (the
     * collapse multiple of 3 x 0.3) x warm-up fraction / half the number of allowed endpoints.
     */
    private void grantWarmUpBudget(int requestClass) {
      long allowedEndpoints = 0;
      for (int i = 0; i < ENDPOINTS; i++) {
        allowedEndpoints +=
            states[i] == EndpointState.READY && mayBeSentTo(requestClass, i) ? 1 : 0;
      }
      for (int i = 0; i < ENDPOINTS; i++) {
        if (allowedEndpoints > 0 && mayBeSentTo(requestClass, i)) {
          double warmUpFraction =
              Math.min(1, 0.2 + 0.8 * (harness.now - startedAtMillis[i]) / 10_000);
          grantedBudget[i] += 0.9 * warmUpFraction / (allowedEndpoints / 2.0);
        }
      }
    }

    private void finishAttempt() {
      if (runningAttempts.isEmpty()) {
        return;
      }
      PolicyHarness.SentAttempt sent =
          runningAttempts.remove(random.nextInt(runningAttempts.size()));
      AttemptOutcome outcome =
          random.nextInt(3) > 0
              ? AttemptOutcome.OK
              : FAILURE_OUTCOMES[random.nextInt(FAILURE_OUTCOMES.length)];
      if (!harness.isOpen(sent.requestId())) {
        outcome = random.nextBoolean() ? AttemptOutcome.CANCELLED : outcome;
      }
      if (outcome == AttemptOutcome.OK) {
        servedOrDisconnected.add(sent.requestId());
      }
      finish(sent, outcome);
    }

    private void finish(PolicyHarness.SentAttempt sent, AttemptOutcome outcome) {
      if (outcome.neverRan()) {
        attemptsWithoutEffect.add(sent);
      }
      if (outcome == AttemptOutcome.TIMEOUT
          || outcome == AttemptOutcome.RESET
          || outcome == AttemptOutcome.CANCELLED) {
        keyReservedUntilMillis.put(sent.requestId(), harness.now + KEY_SETTLE_MILLIS);
      }
      harness.finish(sent, outcome);
    }

    private void changeEndpoints() {
      int i = random.nextInt(ENDPOINTS);
      states[i] = EndpointState.values()[random.nextInt(3)];
      if (random.nextBoolean()) {
        endpoints[i].startedAt(harness.now);
        startedAtMillis[i] = harness.now;
        resetWarmUp(i);
      }
      if (states[i] == EndpointState.REMOVED) {
        resetWarmUp(i);
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
        // A failed call to discovery must change nothing; only the removal that follows does.
        harness.updateEndpoints(EndpointUpdateType.FAILED);
        states[i] = EndpointState.REMOVED;
        resetWarmUp(i);
        harness.updateEndpoints(
            EndpointUpdateType.DELTA, endpoints[i].state(EndpointState.REMOVED));
      } else {
        harness.updateEndpoints(EndpointUpdateType.DELTA, endpoints[i].state(states[i]));
      }
    }

    private void resetWarmUp(int endpoint) {
      warmUpAttempts[endpoint] = 0;
      grantedBudget[endpoint] = 0;
    }

    /** Slow start: an endpoint gets one attempt at once and then as many as its budget allows. */
    private void checkWarmUpBudget(PolicyHarness.SentAttempt sent, String context) {
      int endpoint = (int) sent.endpointId() - 1;
      if (startedAtMillis[endpoint] != 0 && sent.atMillis() - startedAtMillis[endpoint] < 10_000) {
        warmUpAttempts[endpoint]++;
        assertTrue(
            warmUpAttempts[endpoint] <= 1 + grantedBudget[endpoint] + 1e-9,
            context
                + ": slow start: attempt "
                + warmUpAttempts[endpoint]
                + " with a budget of "
                + grantedBudget[endpoint]);
      }
    }

    private void disconnectClient() {
      if (!harness.openRequests.isEmpty() && random.nextInt(3) == 0) {
        long id = harness.openRequests.stream().mapToLong(Long::longValue).min().orElseThrow();
        servedOrDisconnected.add(id);
        harness.disconnectClient(id);
      }
    }

    private void startStream() {
      if (streamed && !runningAttempts.isEmpty()) {
        PolicyHarness.SentAttempt sent =
            runningAttempts.get(random.nextInt(runningAttempts.size()));
        if (harness.isOpen(sent.requestId()) && streamingRequests.add(sent.requestId())) {
          harness.startStream(sent);
        }
      }
    }

    /**
     * Advances the time in steps of up to 5 ms. Times out attempts as the host would, also those
     * that timers send in the meantime.
     */
    private void advance(double millis) {
      double untilMillis = harness.now + millis;
      while (harness.now < untilMillis) {
        harness.advance(Math.min(5, untilMillis - harness.now));
        check("while time advances");
        for (PolicyHarness.SentAttempt sent : List.copyOf(runningAttempts)) {
          boolean timedOut =
              !streamingRequests.contains(sent.requestId()) && timeoutAtMillis(sent) <= harness.now;
          if (timedOut && runningAttempts.remove(sent)) {
            finish(sent, AttemptOutcome.TIMEOUT);
            check("after a timeout");
          }
        }
      }
    }

    private double timeoutAtMillis(PolicyHarness.SentAttempt sent) {
      return Math.min(
          sent.atMillis() + Math.max(0, sent.timeoutMillis()),
          deadlineMillisByRequest.get(sent.requestId()));
    }

    private void check(String context) {
      for (; checkedAttempts < harness.sentAttempts.size(); checkedAttempts++) {
        PolicyHarness.SentAttempt sent = harness.sentAttempts.get(checkedAttempts);
        checkSend(sent, context + ": " + sent);
        checkWarmUpBudget(sent, context + ": " + sent);
        attemptsByRequest.computeIfAbsent(sent.requestId(), k -> new ArrayList<>()).add(sent);
        runningAttempts.add(sent);
      }
      for (; checkedRejections < harness.rejected.size(); checkedRejections++) {
        long id = harness.rejected.get(checkedRejections);
        boolean mayHaveRun =
            attemptsByRequest.getOrDefault(id, List.of()).stream()
                .anyMatch(attempt -> !attemptsWithoutEffect.contains(attempt));
        assertTrue(
            !mayHaveRun
                || idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.DEDUPLICATED
                    && deduplicationScope == DeduplicationScope.ALL),
            context
                + ": rejected request "
                + id
                + ", which may have run and is not safe to repeat");
      }
      Set<Long> finished = new HashSet<>(servedOrDisconnected);
      for (long id : harness.rejected) {
        assertTrue(finished.add(id), context + ": second final response of request " + id);
      }
      for (long id : harness.failed) {
        assertTrue(finished.add(id), context + ": second final response of request " + id);
      }
      for (long id : harness.openRequests) {
        assertTrue(
            streamingRequests.contains(id) || harness.now <= deadlineMillisByRequest.get(id) + 20,
            context + ": request " + id + " has no final response 20 ms after its deadline");
      }
    }

    private void checkSend(PolicyHarness.SentAttempt sent, String context) {
      int endpoint = (int) sent.endpointId() - 1;
      assertEquals(EndpointState.READY, states[endpoint], context + ": endpoint is not ready");
      assertTrue(
          mayBeSentTo(classByRequest.get(sent.requestId()), endpoint),
          context + ": endpoint is not allowed for the class");
      checkKeyOrder(sent, context);
      assertFalse(
          servedOrDisconnected.contains(sent.requestId()),
          context + ": sent after the request was served or its client disconnected");
      List<PolicyHarness.SentAttempt> earlierAttempts =
          attemptsByRequest.getOrDefault(sent.requestId(), List.of());
      assertTrue(earlierAttempts.size() < 4, context + ": more than 4 attempts");
      assertTrue(
          parallelAttempts || earlierAttempts.stream().noneMatch(runningAttempts::contains),
          context + ": parallel attempts");
      for (PolicyHarness.SentAttempt earlierAttempt : earlierAttempts) {
        if (attemptsWithoutEffect.contains(earlierAttempt)
            || idempotency == Idempotency.IDEMPOTENT) {
          continue;
        }
        assertTrue(
            idempotency == Idempotency.DEDUPLICATED,
            context + ": repeated although it must not run twice");
        assertTrue(
            sent.atMillis() <= earlierAttempt.atMillis() + 700,
            context + ": repeated outside the deduplication window of 700 ms");
        int earlierEndpoint = (int) earlierAttempt.endpointId() - 1;
        assertTrue(
            deduplicationScope == DeduplicationScope.ALL
                || (deduplicationScope == DeduplicationScope.ZONE
                    ? earlierEndpoint % 2 == endpoint % 2
                    : earlierEndpoint / 2 == endpoint / 2),
            context + ": repeated outside the deduplication scope " + deduplicationScope);
      }
    }

    /**
     * Requests with the same key are sent in order of arrival, which is that of their IDs; key 0 is
     * no key.
     */
    private void checkKeyOrder(PolicyHarness.SentAttempt sent, String context) {
      long key = keyByRequest.get(sent.requestId());
      for (long id = 0; orderedByKey && key != 0 && id < sent.requestId(); id++) {
        long earlierId = id;
        if (keyByRequest.get(earlierId) == key) {
          assertFalse(
              harness.isOpen(earlierId),
              context + ": key order: sent before the final response of request " + earlierId);
          assertTrue(
              runningAttempts.stream().noneMatch(other -> other.requestId() == earlierId),
              context
                  + ": key order: sent while an attempt of request "
                  + earlierId
                  + " is running");
          assertTrue(
              sent.atMillis() >= keyReservedUntilMillis.getOrDefault(earlierId, 0.0),
              context + ": key order: sent while the key is reserved by request " + earlierId);
        }
      }
    }

    /** Ends all attempts and checks that every request has a final response. */
    private void finishAll(String context) {
      advance(5_000);
      for (PolicyHarness.SentAttempt sent : List.copyOf(runningAttempts)) {
        runningAttempts.remove(sent);
        servedOrDisconnected.add(sent.requestId());
        harness.finish(sent, AttemptOutcome.OK);
      }
      check(context);
      assertTrue(
          harness.openRequests.isEmpty(),
          context + ": requests without a final response: " + harness.openRequests);
    }
  }
}
