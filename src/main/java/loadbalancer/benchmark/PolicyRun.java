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

/**
 * The policy by itself in virtual time, with requests that all succeed and changes of one endpoint.
 * Counts its actions; processor time is measured around these methods.
 */
final class PolicyRun extends UnexpectedActions {

  private static final double MIN_LATENCY_MILLIS = 5;
  private static final double LATENCY_SPREAD_MILLIS = 10;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** The request's number is above so many low bits of a timer's token. */
  private static final int TOKEN_BITS = 8;

  private record Sent(long request, long upstream, double at, double dueAt) {}

  private final List<Endpoint> endpoints;
  private final PolicySettings settings;
  private final LoadBalancingPolicy policy;
  private final SplittableRandom random;
  private final double gapMillis;
  private final ArrayDeque<Sent> inFlight = new ArrayDeque<>();
  private final ArrayDeque<Long> timers = new ArrayDeque<>();
  private double now = 1e9;
  private long lastId;
  private int drainingIndex = -1;
  private long attemptsSent;

  /** Endpoints that attempts went to; null while not counted, as counting costs time. */
  private Set<Long> endpointsReached;

  private long timersSet;

  /** Creates a run with so many requests a second. */
  PolicyRun(PolicySettings settings, List<Endpoint> list, double rate, long seed) {
    super("where all requests succeed");
    this.settings = settings;
    this.endpoints = list;
    gapMillis = MILLIS_PER_SECOND / rate;
    random = new SplittableRandom(seed);
    policy = new LatencyWeightedPolicy(this);
    policy.start(now, settings, seed);
    fullList();
  }

  /** The same settings with a placement that allows every zone and counts its checks. */
  static PolicySettings withEndpointChecks(PolicySettings s, EndpointChecks checks) {
    return s.withRequestClasses(
        s.requestClasses().stream().map(c -> c.withPlacement(checks, null)).toList());
  }

  /** A placement of all zones; the policy asks it whenever it checks an endpoint. */
  static final class EndpointChecks extends AbstractList<Integer> {

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

  /** A request arrives, after the responses that are due by then. */
  void handleRequest() {
    now += gapMillis;
    while (!inFlight.isEmpty() && inFlight.peekFirst().dueAt() <= now) {
      Sent sent = inFlight.pollFirst();
      policy.attemptFinished(
          now,
          new AttemptResult(
              sent.request(), 0, sent.upstream(), AttemptOutcome.OK, true, now - sent.at(), null));
    }
    // In production a timer expires after its request has ended, and only looks it up.
    long oldest = inFlight.isEmpty() ? lastId + 1 : inFlight.peekFirst().request();
    while (!timers.isEmpty() && timers.peekFirst() >>> TOKEN_BITS < oldest) {
      policy.timerExpired(now, timers.pollFirst());
    }
    int requestClass = random.nextInt(settings.requestClasses().size());
    policy.requestArrived(
        now,
        new ClientRequest(
            ++lastId,
            requestClass,
            0,
            0,
            now + settings.requestClasses().get(requestClass).deadlineMillis(),
            0,
            false,
            false));
  }

  /** One endpoint begins to drain, or is ready again. */
  void changeOneEndpoint() {
    now += gapMillis;
    if (drainingIndex < 0) {
      drainingIndex = random.nextInt(endpoints.size());
      policy.endpointsChanged(
          now,
          EndpointUpdateType.DELTA,
          List.of(endpoints.get(drainingIndex).withState(EndpointState.DRAINING)));
    } else {
      policy.endpointsChanged(now, EndpointUpdateType.DELTA, List.of(endpoints.get(drainingIndex)));
      drainingIndex = -1;
    }
  }

  /** A watch ends without changes. */
  void emptyUpdate() {
    now += gapMillis;
    policy.endpointsChanged(now, EndpointUpdateType.DELTA, List.of());
  }

  /** The full list arrives, as at a resync. */
  void fullList() {
    now += gapMillis;
    policy.endpointsChanged(now, EndpointUpdateType.FULL, endpoints);
  }

  /** Returns how many endpoints the requests of so many milliseconds go to. */
  int endpointsReached(double millis) {
    endpointsReached = new HashSet<>();
    for (double end = now + millis; now < end; ) {
      handleRequest();
    }
    int count = endpointsReached.size();
    endpointsReached = null;
    return count;
  }

  long attemptsSent() {
    return attemptsSent;
  }

  long timersSet() {
    return timersSet;
  }

  @Override
  public void sendAttempt(long requestId, long endpointId, double timeoutMillis) {
    attemptsSent++;
    if (endpointsReached != null) {
      endpointsReached.add(endpointId);
    }
    double latency = MIN_LATENCY_MILLIS + LATENCY_SPREAD_MILLIS * random.nextDouble();
    inFlight.addLast(new Sent(requestId, endpointId, now, now + latency));
  }

  @Override
  public void scheduleTimer(long token, double atMillis) {
    timersSet++;
    timers.addLast(token);
  }

  @Override
  public void log(String text) {
    // Log lines decide nothing.
  }
}
