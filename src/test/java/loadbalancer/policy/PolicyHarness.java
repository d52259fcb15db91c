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

/** One instance in virtual time: hands it events, keeps its actions, rings its timers. */
final class PolicyHarness implements PolicyActions {

  record Sent(long request, int attempt, long upstream, double timeout, double at) {}

  private record Alarm(double at, long order, long token) {}

  final List<Sent> sends = new ArrayList<>();
  final List<Long> refused = new ArrayList<>();

  /** The advice of the last refusal on when to return. */
  double retryAfter;

  final List<Long> failed = new ArrayList<>();
  final List<Sent> cancelled = new ArrayList<>();
  final Set<Long> open = new HashSet<>();
  private final Set<Sent> finished = new HashSet<>();
  int closed;
  int watches;
  double now = 100_000;

  private final PolicySettings settings;
  private final LoadBalancingPolicy balancer;
  private final Map<Long, Integer> attempts = new HashMap<>();
  private final PriorityQueue<Alarm> alarms =
      new PriorityQueue<>(Comparator.comparingDouble(Alarm::at).thenComparingLong(Alarm::order));
  private long alarmsSet;

  PolicyHarness(PolicySettings settings, long seed) {
    this.settings = settings;
    balancer = new LatencyWeightedPolicy(this);
    balancer.start(now, settings, seed);
  }

  void list(EndpointUpdateType change, TestSettings.EndpointBuilder... servers) {
    balancer.endpointsChanged(
        now, change, Arrays.stream(servers).map(TestSettings.EndpointBuilder::listed).toList());
  }

  void request(long id, int serviceClass) {
    request(
        id, serviceClass, now + settings.requestClasses().get(serviceClass).deadlineMillis(), 0);
  }

  void request(long id, int serviceClass, double deadline, double cost) {
    request(id, serviceClass, deadline, cost, id);
  }

  void request(long id, int serviceClass, double deadline, double cost, long key) {
    open.add(id);
    balancer.requestArrived(
        now, new ClientRequest(id, serviceClass, 0, key, deadline, cost, false, false));
  }

  /** A request that its client marked as a repeat. */
  void retry(long id, int serviceClass) {
    open.add(id);
    balancer.requestArrived(
        now,
        new ClientRequest(
            id,
            serviceClass,
            0,
            id,
            now + settings.requestClasses().get(serviceClass).deadlineMillis(),
            0,
            true,
            false));
  }

  /** A request with a key and its class's whole deadline. */
  void keyed(long id, int serviceClass, long key) {
    request(
        id,
        serviceClass,
        now + settings.requestClasses().get(serviceClass).deadlineMillis(),
        0,
        key);
  }

  void finish(Sent sent, AttemptOutcome result) {
    finishAfter(sent, result, now - sent.at());
  }

  /** An outcome whose host has not yet heard that the request is over. */
  void finishUnclosed(Sent sent, AttemptOutcome result) {
    balancer.attemptFinished(
        now,
        new AttemptResult(
            sent.request(), sent.attempt(), sent.upstream(), result, false, now - sent.at(), null));
  }

  void timer(long token) {
    balancer.timerExpired(now, token);
  }

  void finishAfter(Sent sent, AttemptOutcome result, double elapsed) {
    if (!finished.add(sent)) {
      throw new AssertionError(
          "a second outcome for " + sent + ": no attempt and no answer followed");
    }
    if (result == AttemptOutcome.OK) {
      open.remove(sent.request());
    }
    balancer.attemptFinished(
        now,
        new AttemptResult(
            sent.request(),
            sent.attempt(),
            sent.upstream(),
            result,
            !open.contains(sent.request()),
            elapsed,
            null));
  }

  void streamStarted(Sent sent) {
    balancer.responseStarted(now, sent.request(), sent.attempt(), now - sent.at());
  }

  void clientGone(long id) {
    open.remove(id);
    balancer.clientDisconnected(now, id);
  }

  /** Moves the clock on, ringing what falls due on the way. */
  void advance(double ms) {
    double until = now + ms;
    while (!alarms.isEmpty() && alarms.peek().at() <= until) {
      Alarm alarm = alarms.poll();
      now = Math.max(now, alarm.at());
      balancer.timerExpired(now, alarm.token());
    }
    now = until;
  }

  /** At how many different times timers are set to ring within the next ms. */
  long timesAhead(double ms) {
    return alarms.stream().mapToDouble(Alarm::at).filter(at -> at <= now + ms).distinct().count();
  }

  Sent lastSend() {
    return sends.get(sends.size() - 1);
  }

  boolean isOpen(long id) {
    return open.contains(id);
  }

  @Override
  public void sendAttempt(long requestId, long upstream, double timeout) {
    int attempt = attempts.merge(requestId, 1, Integer::sum) - 1;
    sends.add(new Sent(requestId, attempt, upstream, timeout, now));
  }

  @Override
  public void reject(long requestId, double retryAfter) {
    open.remove(requestId);
    refused.add(requestId);
    this.retryAfter = retryAfter;
  }

  @Override
  public void failRequest(long requestId) {
    open.remove(requestId);
    failed.add(requestId);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    for (Sent sent : sends) {
      if (sent.request() == requestId && sent.attempt() == attempt) {
        cancelled.add(sent);
      }
    }
  }

  @Override
  public void scheduleTimer(long token, double at) {
    alarms.add(new Alarm(at, alarmsSet++, token));
  }

  @Override
  public void closeIdleConnections(long upstream) {
    closed++;
  }

  @Override
  public void watchEndpoints(boolean on) {
    watches++;
  }

  @Override
  public void checkHealth(long upstream) {
    throw new AssertionError("no site of these tests allows probes");
  }

  @Override
  public void fetchEndpoints() {
    throw new AssertionError("nothing needs a fetch");
  }

  @Override
  public void sendToPeer(int peer, byte[] payload) {
    throw new AssertionError("no site of these tests has peers");
  }

  @Override
  public void log(String text) {
    // Log lines decide nothing.
  }
}
