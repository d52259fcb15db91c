package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;

/**
 * Runs one policy in virtual time: sends it events, records its actions and fires its timers.
 * Checks that no attempt ends twice.
 */
final class PolicyHarness implements PolicyActions {

  record SentAttempt(
      long requestId, int attempt, long endpointId, double timeoutMillis, double atMillis) {}

  /** A scheduled timer; the sequence number orders timers of the same time. */
  private record Timer(double atMillis, long sequenceNumber, long token) {}

  final List<SentAttempt> sentAttempts = new ArrayList<>();

  /** IDs of the rejected requests, in the order of the responses. */
  final List<Long> rejected = new ArrayList<>();

  /** Retry-After advice of the last rejection; 0 for none. */
  double retryAfterMillis;

  /** IDs of the failed requests, in the order of the responses. */
  final List<Long> failed = new ArrayList<>();

  /** Attempts that the policy has cancelled. */
  final List<SentAttempt> cancelled = new ArrayList<>();

  /** IDs of the requests without a final response. */
  final Set<Long> openRequests = new HashSet<>();

  private final Set<SentAttempt> finishedAttempts = new HashSet<>();
  int idleConnectionsClosed;
  int watchesStarted;

  /** Virtual time in milliseconds. */
  double now = 100_000;

  private final PolicySettings settings;
  private final LoadBalancingPolicy policy;
  private final Map<Long, Integer> attemptCounts = new HashMap<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingDouble(Timer::atMillis).thenComparingLong(Timer::sequenceNumber));
  private long timersScheduled;

  PolicyHarness(PolicySettings settings, long seed) {
    this.settings = settings;
    policy = new LatencyWeightedPolicy(this);
    policy.start(now, settings, seed);
  }

  void updateEndpoints(EndpointUpdateType updateType, TestSettings.EndpointBuilder... endpoints) {
    policy.endpointsChanged(
        now,
        updateType,
        Arrays.stream(endpoints).map(TestSettings.EndpointBuilder::build).toList());
  }

  void request(long id, int requestClass) {
    request(
        id, requestClass, now + settings.requestClasses().get(requestClass).deadlineMillis(), 0);
  }

  void request(long id, int requestClass, double deadlineMillis, double costMillis) {
    request(id, requestClass, deadlineMillis, costMillis, id);
  }

  void request(long id, int requestClass, double deadlineMillis, double costMillis, long key) {
    openRequests.add(id);
    policy.requestArrived(
        now,
        new ClientRequest(
            id,
            requestClass,
            /* tenant= */ 0,
            key,
            deadlineMillis,
            costMillis,
            /* retry= */ false,
            /* write= */ false));
  }

  /** Sends a request that its client has marked as a retry. */
  void clientRetry(long id, int requestClass) {
    openRequests.add(id);
    policy.requestArrived(
        now,
        new ClientRequest(
            id,
            requestClass,
            /* tenant= */ 0,
            /* key= */ id,
            now + settings.requestClasses().get(requestClass).deadlineMillis(),
            /* costMillis= */ 0,
            /* retry= */ true,
            /* write= */ false));
  }

  /** Sends a request with an ordering key and the deadline of its class. */
  void orderedRequest(long id, int requestClass, long key) {
    request(
        id,
        requestClass,
        now + settings.requestClasses().get(requestClass).deadlineMillis(),
        0,
        key);
  }

  void finish(SentAttempt sent, AttemptOutcome outcome) {
    finishAfter(sent, outcome, now - sent.atMillis());
  }

  /** Ends an attempt of a request that has ended, before the host knows that it has. */
  void finishBeforeClose(SentAttempt sent, AttemptOutcome outcome) {
    policy.attemptFinished(
        now,
        new AttemptResult(
            sent.requestId(),
            sent.attempt(),
            sent.endpointId(),
            outcome,
            false,
            now - sent.atMillis(),
            null));
  }

  void fireTimer(long token) {
    policy.timerExpired(now, token);
  }

  void finishAfter(SentAttempt sent, AttemptOutcome outcome, double elapsedMillis) {
    if (!finishedAttempts.add(sent)) {
      throw new AssertionError(
          "the test ended this attempt twice: "
              + sent
              + "; perhaps lastAttempt() still returns it because the policy sent no other attempt");
    }
    if (outcome == AttemptOutcome.OK) {
      openRequests.remove(sent.requestId());
    }
    policy.attemptFinished(
        now,
        new AttemptResult(
            sent.requestId(),
            sent.attempt(),
            sent.endpointId(),
            outcome,
            !openRequests.contains(sent.requestId()),
            elapsedMillis,
            null));
  }

  void startStream(SentAttempt sent) {
    policy.responseStarted(now, sent.requestId(), sent.attempt(), now - sent.atMillis());
  }

  void disconnectClient(long id) {
    openRequests.remove(id);
    policy.clientDisconnected(now, id);
  }

  /** Advances the time and fires the timers that expire. */
  void advance(double millis) {
    double untilMillis = now + millis;
    while (!timers.isEmpty() && timers.peek().atMillis() <= untilMillis) {
      Timer timer = timers.poll();
      now = Math.max(now, timer.atMillis());
      policy.timerExpired(now, timer.token());
    }
    now = untilMillis;
  }

  /** The number of different times at which timers expire within a period from now. */
  long distinctTimerTimes(double periodMillis) {
    return timers.stream()
        .mapToDouble(Timer::atMillis)
        .filter(atMillis -> atMillis <= now + periodMillis)
        .distinct()
        .count();
  }

  SentAttempt lastAttempt() {
    return sentAttempts.get(sentAttempts.size() - 1);
  }

  boolean isOpen(long id) {
    return openRequests.contains(id);
  }

  @Override
  public void sendAttempt(long requestId, long endpointId, double timeoutMillis) {
    int attemptNumber = attemptCounts.merge(requestId, 1, Integer::sum) - 1;
    sentAttempts.add(new SentAttempt(requestId, attemptNumber, endpointId, timeoutMillis, now));
  }

  @Override
  public void reject(long requestId, double newRetryAfterMillis) {
    openRequests.remove(requestId);
    rejected.add(requestId);
    retryAfterMillis = newRetryAfterMillis;
  }

  @Override
  public void failRequest(long requestId) {
    openRequests.remove(requestId);
    failed.add(requestId);
  }

  @Override
  public void cancelAttempt(long requestId, int attemptNumber) {
    for (SentAttempt sent : sentAttempts) {
      if (sent.requestId() == requestId && sent.attempt() == attemptNumber) {
        cancelled.add(sent);
      }
    }
  }

  @Override
  public void scheduleTimer(long token, double atMillis) {
    timers.add(new Timer(atMillis, timersScheduled++, token));
  }

  @Override
  public void closeIdleConnections(long endpointId) {
    idleConnectionsClosed++;
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    watchesStarted++;
  }

  @Override
  public void checkHealth(long endpointId) {
    throw new AssertionError("unexpected health check");
  }

  @Override
  public void fetchEndpoints() {
    throw new AssertionError("unexpected fetch of the endpoint list");
  }

  @Override
  public void sendToPeer(int peerIndex, byte[] payload) {
    throw new AssertionError("unexpected message to a peer");
  }

  @Override
  public void log(String text) {
    // Log lines are not checked.
  }
}
