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
 * Runs the policy without a proxy in virtual time, with requests that all succeed and changes of
 * one endpoint at a time. Counts the policy's actions. The caller measures the processor time of
 * the methods.
 */
final class VirtualTimePolicyRun extends UnexpectedPolicyActions {

  private static final double MIN_LATENCY_MILLIS = 5;
  private static final double LATENCY_SPREAD_MILLIS = 10;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** A timer token holds the request ID above this many low bits. */
  private static final int TOKEN_BITS = 8;

  /** An attempt in flight. */
  private record SentAttempt(
      long requestId, long endpointId, double sentMillis, double responseMillis) {}

  private final List<Endpoint> endpoints;
  private final PolicySettings settings;
  private final LoadBalancingPolicy policy;
  private final SplittableRandom random;
  private final double eventIntervalMillis;
  private final ArrayDeque<SentAttempt> inFlight = new ArrayDeque<>();
  private final ArrayDeque<Long> timerTokens = new ArrayDeque<>();
  private double nowMillis = 1e9;
  private long lastRequestId;
  private int drainingIndex = -1;
  private long attemptsSent;

  /** Endpoints that attempts went to; null except during a count, as counting costs time. */
  private Set<Long> endpointsReached;

  private long timersScheduled;

  /** Creates a run, in which the policy has received the full list of endpoints. */
  VirtualTimePolicyRun(
      PolicySettings settings, List<Endpoint> endpoints, double requestsPerSecond, long seed) {
    super("in a run in which all requests succeed");
    this.settings = settings;
    this.endpoints = endpoints;
    eventIntervalMillis = MILLIS_PER_SECOND / requestsPerSecond;
    random = new SplittableRandom(seed);
    policy = new LatencyWeightedPolicy(this);
    policy.start(nowMillis, settings, seed);
    fullList();
  }

  /**
   * Returns the settings with placements that allow every zone and count how often they are asked.
   */
  static PolicySettings withEndpointChecks(PolicySettings base, EndpointChecks checks) {
    return base.withRequestClasses(
        base.requestClasses().stream()
            .map(requestClass -> requestClass.withPlacement(checks, null))
            .toList());
  }

  /**
   * A list of allowed zones that contains every zone. It counts calls of {@link #contains}, the
   * only method that the policy calls, once for each check of an endpoint.
   */
  static final class EndpointChecks extends AbstractList<Integer> {

    private long checkCount;

    long count() {
      return checkCount;
    }

    @Override
    public boolean contains(Object zone) {
      checkCount++;
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

  /** Delivers a request, after the responses that are due before it. */
  void handleRequest() {
    nowMillis += eventIntervalMillis;
    while (!inFlight.isEmpty() && inFlight.peekFirst().responseMillis() <= nowMillis) {
      SentAttempt attempt = inFlight.pollFirst();
      policy.attemptFinished(
          nowMillis,
          new AttemptResult(
              attempt.requestId(),
              0,
              attempt.endpointId(),
              AttemptOutcome.OK,
              true,
              nowMillis - attempt.sentMillis(),
              null));
    }
    // Timers expire only when their request has ended, which is the usual case in production. The
    // policy then only finds that it does not know the request any more.
    long oldestInFlight = inFlight.isEmpty() ? lastRequestId + 1 : inFlight.peekFirst().requestId();
    while (!timerTokens.isEmpty() && timerTokens.peekFirst() >>> TOKEN_BITS < oldestInFlight) {
      policy.timerExpired(nowMillis, timerTokens.pollFirst());
    }
    int requestClass = random.nextInt(settings.requestClasses().size());
    policy.requestArrived(
        nowMillis,
        new ClientRequest(
            ++lastRequestId,
            requestClass,
            0,
            0,
            nowMillis + settings.requestClasses().get(requestClass).deadlineMillis(),
            0,
            false,
            false));
  }

  /** Delivers a delta in which an endpoint begins to drain, or the draining one is ready again. */
  void changeOneEndpoint() {
    nowMillis += eventIntervalMillis;
    if (drainingIndex < 0) {
      drainingIndex = random.nextInt(endpoints.size());
      policy.endpointsChanged(
          nowMillis,
          EndpointUpdateType.DELTA,
          List.of(endpoints.get(drainingIndex).withState(EndpointState.DRAINING)));
    } else {
      policy.endpointsChanged(
          nowMillis, EndpointUpdateType.DELTA, List.of(endpoints.get(drainingIndex)));
      drainingIndex = -1;
    }
  }

  /** Delivers the empty delta of a watch that ended without changes. */
  void emptyUpdate() {
    nowMillis += eventIntervalMillis;
    policy.endpointsChanged(nowMillis, EndpointUpdateType.DELTA, List.of());
  }

  /** Delivers the full list, as after a resync. */
  void fullList() {
    nowMillis += eventIntervalMillis;
    policy.endpointsChanged(nowMillis, EndpointUpdateType.FULL, endpoints);
  }

  /** Returns how many different endpoints the requests of a period go to. */
  int countEndpointsReached(double periodMillis) {
    endpointsReached = new HashSet<>();
    for (double endMillis = nowMillis + periodMillis; nowMillis < endMillis; ) {
      handleRequest();
    }
    int reachedCount = endpointsReached.size();
    endpointsReached = null;
    return reachedCount;
  }

  long attemptsSent() {
    return attemptsSent;
  }

  long timersScheduled() {
    return timersScheduled;
  }

  @Override
  public void sendAttempt(long requestId, long endpointId, double timeoutMillis) {
    attemptsSent++;
    if (endpointsReached != null) {
      endpointsReached.add(endpointId);
    }
    double latencyMillis = MIN_LATENCY_MILLIS + LATENCY_SPREAD_MILLIS * random.nextDouble();
    inFlight.addLast(new SentAttempt(requestId, endpointId, nowMillis, nowMillis + latencyMillis));
  }

  @Override
  public void scheduleTimer(long token, double atMillis) {
    timersScheduled++;
    timerTokens.addLast(token);
  }

  @Override
  public void log(String text) {
    // Log lines are ignored.
  }
}
