package loadbalancer.benchmark;

import java.util.AbstractList;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;
import loadbalancer.policy.LatencyWeightedPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicyActions;

/**
 * The module by itself in virtual time, with calls that are all served and changes of one entry.
 * Counts what it does; whoever measures its processor time does so around these methods.
 */
final class PolicyRun implements PolicyActions {

  private static final double LEAST_LATENCY_MS = 5;
  private static final double LATENCY_SPREAD_MS = 10;
  private static final double MS = 1_000;

  /** A timer's token has its request's number above so many bits. */
  private static final int TOKEN_BITS = 8;

  private record Sent(long request, long upstream, double at, double dueAt) {}

  private final List<Endpoint> list;
  private final PolicySettings settings;
  private final LoadBalancingPolicy balancer;
  private final SplittableRandom random;
  private final double gap;
  private final ArrayDeque<Sent> out = new ArrayDeque<>();
  private final ArrayDeque<Long> timers = new ArrayDeque<>();
  private double now = 1e9;
  private long lastId;
  private int flipped = -1;
  private long sends;

  /**
   * Where attempts went; null while nobody asks, as it would cost as much as a short list's call.
   */
  private Set<Long> reached;

  private long timersSet;

  /**
   * With calls at a rate a second, which decides how often evidence fades and how many are in
   * flight.
   */
  PolicyRun(PolicySettings settings, List<Endpoint> list, double rate, long seed) {
    this.settings = settings;
    this.list = list;
    gap = MS / rate;
    random = new SplittableRandom(seed);
    balancer = new LatencyWeightedPolicy(this);
    balancer.start(now, settings, seed);
    whole();
  }

  /**
   * The same settings with classes whose placement allows everything and tells how often it is
   * asked.
   */
  static PolicySettings counted(PolicySettings s, Looks looks) {
    return s.withRequestClasses(
        s.requestClasses().stream().map(c -> c.withPlacement(looks, null)).toList());
  }

  /** A placement of all zones; each time it is asked, the module looks at a server for a call. */
  static final class Looks extends AbstractList<Integer> {

    private long count;

    long count() {
      return count;
    }

    @Override
    public boolean contains(Object zone) {
      count++;
      return true;
    }

    @Override
    public Integer get(int index) {
      throw new IndexOutOfBoundsException(index);
    }

    @Override
    public int size() {
      return 0;
    }
  }

  /** A request arrives; attempts that are due by then have been served. */
  void call() {
    now += gap;
    while (!out.isEmpty() && out.peekFirst().dueAt() <= now) {
      Sent sent = out.pollFirst();
      balancer.attemptFinished(
          now,
          new AttemptResult(
              sent.request(), 0, sent.upstream(), AttemptOutcome.OK, true, now - sent.at(), null));
    }
    // Their calls are over by the time they ring in earnest, and all that is left of them is a
    // look-up.
    long oldest = out.isEmpty() ? lastId + 1 : out.peekFirst().request();
    while (!timers.isEmpty() && timers.peekFirst() >>> TOKEN_BITS < oldest) {
      balancer.timerExpired(now, timers.pollFirst());
    }
    int serviceClass = random.nextInt(settings.requestClasses().size());
    balancer.requestArrived(
        now,
        new ClientRequest(
            ++lastId,
            serviceClass,
            0,
            0,
            now + settings.requestClasses().get(serviceClass).deadlineMillis(),
            0,
            false,
            false));
  }

  /** One entry begins to drain, or is ready again. */
  void change() {
    now += gap;
    if (flipped < 0) {
      flipped = random.nextInt(list.size());
      balancer.endpointsChanged(
          now,
          EndpointUpdateType.DELTA,
          List.of(list.get(flipped).withState(EndpointState.DRAINING)));
    } else {
      balancer.endpointsChanged(now, EndpointUpdateType.DELTA, List.of(list.get(flipped)));
      flipped = -1;
    }
  }

  /** A watch ends without news. */
  void noNews() {
    now += gap;
    balancer.endpointsChanged(now, EndpointUpdateType.DELTA, List.of());
  }

  /** The whole list comes, as at a resync. */
  void whole() {
    now += gap;
    balancer.endpointsChanged(now, EndpointUpdateType.FULL, list);
  }

  /** The servers that calls of so many ms go to, each of which holds a connection by then. */
  int reached(double millis) {
    reached = new HashSet<>();
    for (double end = now + millis; now < end; ) {
      call();
    }
    int count = reached.size();
    reached = null;
    return count;
  }

  long sends() {
    return sends;
  }

  long timersSet() {
    return timersSet;
  }

  @Override
  public void sendAttempt(long requestId, long upstream, double timeout) {
    sends++;
    if (reached != null) {
      reached.add(upstream);
    }
    double latency = LEAST_LATENCY_MS + LATENCY_SPREAD_MS * random.nextDouble();
    out.addLast(new Sent(requestId, upstream, now, now + latency));
  }

  @Override
  public void scheduleTimer(long token, double at) {
    timersSet++;
    timers.addLast(token);
  }

  @Override
  public void reject(long requestId, double retryAfter) {
    throw unexpected("a refusal");
  }

  @Override
  public void failRequest(long requestId) {
    throw unexpected("a failure");
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    throw unexpected("a cancelled attempt");
  }

  @Override
  public void checkHealth(long upstream) {
    throw unexpected("a probe");
  }

  @Override
  public void closeIdleConnections(long upstream) {
    throw unexpected("a close");
  }

  @Override
  public void fetchEndpoints() {
    throw unexpected("a fetch");
  }

  @Override
  public void watchEndpoints(boolean on) {
    throw unexpected("a watch");
  }

  @Override
  public void sendToPeer(int peer, byte[] payload) {
    throw unexpected("a message");
  }

  @Override
  public void log(String text) {
    // Log lines decide nothing.
  }

  /**
   * Where all calls are served in time nothing of the kind is due, and the run would measure that.
   */
  private static BenchmarkException unexpected(String what) {
    return new BenchmarkException("the module asked for " + what + " where all calls are served");
  }
}
