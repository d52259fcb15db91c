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

/** One instance in virtual time: hands it events, records its actions, fires its timers. */
final class PolicyHarness implements PolicyActions {

  record SentAttempt(
      long requestId, int attempt, long endpointId, double timeoutMillis, double atMillis) {}

  private record Timer(double atMillis, long order, long token) {}

  final List<SentAttempt> sentAttempts = new ArrayList<>();
  final List<Long> rejected = new ArrayList<>();

  /** The advice of the last rejection. */
  double retryAfterMillis;

  final List<Long> failed = new ArrayList<>();
  final List<SentAttempt> cancelled = new ArrayList<>();
  final Set<Long> open = new HashSet<>();
  private final Set<SentAttempt> finished = new HashSet<>();
  int idleConnectionsClosed;
  int watchesStarted;
  double now = 100_000;

  private final PolicySettings settings;
  private final LoadBalancingPolicy policy;
  private final Map<Long, Integer> attempts = new HashMap<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingDouble(Timer::atMillis).thenComparingLong(Timer::order));
  private long timersSet;

  PolicyHarness(PolicySettings settings, long seed) {
    this.settings = settings;
    policy = new LatencyWeightedPolicy(this);
    policy.start(now, settings, seed);
  }

  void updateEndpoints(EndpointUpdateType change, TestSettings.EndpointBuilder... endpoints) {
    policy.endpointsChanged(
        now, change, Arrays.stream(endpoints).map(TestSettings.EndpointBuilder::build).toList());
  }

  void request(long id, int requestClass) {
    request(
        id, requestClass, now + settings.requestClasses().get(requestClass).deadlineMillis(), 0);
  }

  void request(long id, int requestClass, double deadline, double cost) {
    request(id, requestClass, deadline, cost, id);
  }

  void request(long id, int requestClass, double deadline, double cost, long key) {
    open.add(id);
    policy.requestArrived(
        now, new ClientRequest(id, requestClass, 0, key, deadline, cost, false, false));
  }

  /** A request that its client has marked as a retry. */
  void clientRetry(long id, int requestClass) {
    open.add(id);
    policy.requestArrived(
        now,
        new ClientRequest(
            id,
            requestClass,
            0,
            id,
            now + settings.requestClasses().get(requestClass).deadlineMillis(),
            0,
            true,
            false));
  }

  /** A request with a key and the deadline of its class. */
  void orderedRequest(long id, int requestClass, long key) {
    request(
        id,
        requestClass,
        now + settings.requestClasses().get(requestClass).deadlineMillis(),
        0,
        key);
  }

  void finish(SentAttempt sent, AttemptOutcome result) {
    finishAfter(sent, result, now - sent.atMillis());
  }

  /** A result that the host sent before it learned that the request was closed. */
  void finishBeforeClose(SentAttempt sent, AttemptOutcome result) {
    policy.attemptFinished(
        now,
        new AttemptResult(
            sent.requestId(),
            sent.attempt(),
            sent.endpointId(),
            result,
            false,
            now - sent.atMillis(),
            null));
  }

  void fireTimer(long token) {
    policy.timerExpired(now, token);
  }

  void finishAfter(SentAttempt sent, AttemptOutcome result, double elapsed) {
    if (!finished.add(sent)) {
      throw new AssertionError(
          "a second outcome for " + sent + ": no attempt and no answer followed");
    }
    if (result == AttemptOutcome.OK) {
      open.remove(sent.requestId());
    }
    policy.attemptFinished(
        now,
        new AttemptResult(
            sent.requestId(),
            sent.attempt(),
            sent.endpointId(),
            result,
            !open.contains(sent.requestId()),
            elapsed,
            null));
  }

  void startStream(SentAttempt sent) {
    policy.responseStarted(now, sent.requestId(), sent.attempt(), now - sent.atMillis());
  }

  void disconnectClient(long id) {
    open.remove(id);
    policy.clientDisconnected(now, id);
  }

  /** Moves the clock on and fires the timers that fall due. */
  void advance(double ms) {
    double until = now + ms;
    while (!timers.isEmpty() && timers.peek().atMillis() <= until) {
      Timer timer = timers.poll();
      now = Math.max(now, timer.atMillis());
      policy.timerExpired(now, timer.token());
    }
    now = until;
  }

  /** The number of different times at which timers are due within the next ms. */
  long distinctTimerTimes(double ms) {
    return timers.stream()
        .mapToDouble(Timer::atMillis)
        .filter(at -> at <= now + ms)
        .distinct()
        .count();
  }

  SentAttempt lastAttempt() {
    return sentAttempts.get(sentAttempts.size() - 1);
  }

  boolean isOpen(long id) {
    return open.contains(id);
  }

  @Override
  public void sendAttempt(long requestId, long upstream, double timeout) {
    int attempt = attempts.merge(requestId, 1, Integer::sum) - 1;
    sentAttempts.add(new SentAttempt(requestId, attempt, upstream, timeout, now));
  }

  @Override
  public void reject(long requestId, double retryAfter) {
    open.remove(requestId);
    rejected.add(requestId);
    this.retryAfterMillis = retryAfter;
  }

  @Override
  public void failRequest(long requestId) {
    open.remove(requestId);
    failed.add(requestId);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    for (SentAttempt sent : sentAttempts) {
      if (sent.requestId() == requestId && sent.attempt() == attempt) {
        cancelled.add(sent);
      }
    }
  }

  @Override
  public void scheduleTimer(long token, double at) {
    timers.add(new Timer(at, timersSet++, token));
  }

  @Override
  public void closeIdleConnections(long upstream) {
    idleConnectionsClosed++;
  }

  @Override
  public void watchEndpoints(boolean on) {
    watchesStarted++;
  }

  @Override
  public void checkHealth(long upstream) {
    throw new AssertionError("no test expects a health check");
  }

  @Override
  public void fetchEndpoints() {
    throw new AssertionError("no test expects a fetch");
  }

  @Override
  public void sendToPeer(int peer, byte[] payload) {
    throw new AssertionError("no test has peers");
  }

  @Override
  public void log(String text) {
    // Log lines are not checked.
  }
}
