package loadbalancer.policy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;

/**
 * Sends each request to an endpoint chosen at random in proportion to 1/cost, see {@link
 * EndpointCost}.
 *
 * <p>This class owns the requests in flight and asks the rules in turn: {@link AdmissionController}
 * on arrival, {@link EndpointSelector} for each attempt, {@link HedgingPolicy} while it runs,
 * {@link RetryPolicy} when it has ended, {@link PendingRequests} and {@link KeyedRequestQueue} for
 * requests that wait, {@link DiscoveryRefresh} for the endpoint list.
 */
public final class LatencyWeightedPolicy implements LoadBalancingPolicy {

  private final PolicyActions actions;
  private final Map<Long, InFlightRequest> requests = new HashMap<>();
  private final KeyedRequestQueue keyedRequests = new KeyedRequestQueue();
  private final PendingRequests pending;
  private final RetryBudget retryBudget = new RetryBudget();
  private final RetryPolicy retryPolicy = new RetryPolicy(retryBudget);

  // The parts below depend on the settings and are set by start.
  private PolicySettings settings;
  private RequestClassStatistics[] requestClasses;
  private EndpointList endpoints;
  private EndpointSubset subset;
  private SlowStart slowStart;
  private EndpointSelector selector;
  private AdmissionController admission;
  private HedgingPolicy hedging;
  private DiscoveryRefresh discovery;
  private IdleConnectionRelease idleConnections;

  /** Creates an instance that asks its host for actions through {@code actions}. */
  public LatencyWeightedPolicy(PolicyActions actions) {
    this.actions = actions;
    this.pending = new PendingRequests(actions);
  }

  @Override
  public void start(double now, PolicySettings newSettings, long seed) {
    settings = newSettings;
    SplittableRandom random = new SplittableRandom(seed);
    requestClasses = new RequestClassStatistics[settings.requestClasses().size()];
    Arrays.setAll(
        requestClasses, i -> new RequestClassStatistics(i, settings.requestClasses().get(i)));
    slowStart = new SlowStart(settings);
    subset = new EndpointSubset(settings.instanceIndex());
    endpoints = new EndpointList(settings.machineTypeCount(), requestClasses.length, slowStart);
    hedging = new HedgingPolicy(settings.limits(), retryBudget);
    idleConnections = new IdleConnectionRelease(actions, settings.limits().idleTimeoutMillis());
    createOverloadAndSelectionRules(random);
    discovery = new DiscoveryRefresh(settings, actions, random, now);
    discovery.start();
  }

  private void createOverloadAndSelectionRules(SplittableRandom random) {
    PlacementGroup[] placementGroups = PlacementGroup.group(requestClasses);
    RequestClassValue value = new RequestClassValue(settings.priorityByWork());
    admission =
        new AdmissionController(
            settings.tier(),
            settings.limits(),
            requestClasses,
            new SheddingPlan(value, settings.worstClassWeight()),
            random);
    selector =
        new EndpointSelector(
            new EndpointEligibility(settings.limits()),
            new EndpointCost(settings, placementGroups, slowStart),
            new QueueingLimit(settings.tier(), requestClasses, value),
            slowStart,
            random);
  }

  // ---- Arrival and queues

  @Override
  public void requestArrived(double now, ClientRequest clientRequest) {
    RequestClassStatistics type = requestClasses[clientRequest.requestClass()];
    InFlightRequest request = new InFlightRequest(clientRequest, type, now);
    requests.put(request.id(), request);
    retryBudget.requestArrived();
    type.recordArrival(clientRequest.costMillis(), clientRequest.retry());
    if (admission.rejects(request)) {
      finishUnserved(request, now);
      return;
    }
    slowStart.grantBudget(request, endpoints.ready(), subset.stride(), now);
    keyedRequests.add(request);
    dispatch(request, now);
  }

  /**
   * Sends the next attempt. A request without any attempt is queued while its key is reserved or no
   * endpoint can be used; it is finished as soon as it cannot be served in time, at once where the
   * endpoints are over the queueing limit.
   */
  private void dispatch(InFlightRequest request, double now) {
    double latestSend = PendingRequests.latestSendMillis(request);
    PendingRequests.limitQueueTime(request, latestSend);
    boolean keyIsFree = KeyedRequestQueue.isFirst(request);
    EndpointStatistics endpoint =
        keyIsFree && now < latestSend ? selector.select(request, endpoints.ready(), now) : null;
    if (endpoint != null) {
      send(request, endpoint, now);
    } else if (PendingRequests.mayQueue(request, now)
        && !(keyIsFree && selector.queueingLimitReached())) {
      pending.queue(request, keyIsFree, now);
    } else {
      finishUnserved(request, now);
    }
  }

  private void dispatchQueued(InFlightRequest request, double now) {
    if (pending.maySelect(request, now)) {
      dispatch(request, now);
      if (!request.isDone() && request.attempts().isEmpty()) {
        PendingRequests.selectionFailed(request, now);
      }
    }
  }

  // ---- Attempts

  private void send(InFlightRequest request, EndpointStatistics endpoint, double now) {
    double rejectedShare = request.statistics().placementGroup().overload().rejectedShare();
    Attempt attempt = new Attempt(request, endpoint, now, rejectedShare);
    double timeoutMillis = request.usefulUntilMillis() - now;
    if (hedging.mayHedge(request, timeoutMillis)) {
      actions.scheduleTimer(
          TimerToken.hedge(request.id(), attempt.number()),
          now + HedgingPolicy.slowAfterMillis(request));
    } else {
      timeoutMillis = hedging.timeoutMillis(request, timeoutMillis);
    }
    request.addAttempt(attempt);
    endpoint.attemptSent(attempt);
    if (admission.isActive()) {
      actions.scheduleTimer(
          TimerToken.lateAttempt(request.id(), attempt.number()),
          now + OverloadDetector.lateAfterMillis(request));
    }
    actions.sendAttempt(request.id(), endpoint.listedEndpoint().id(), timeoutMillis);
  }

  @Override
  public void timerExpired(double now, long token) {
    TimerToken.Kind kind = TimerToken.kind(token);
    if (kind == TimerToken.Kind.DISCOVERY_RETRY) {
      discovery.retry();
      return;
    }
    InFlightRequest request = requests.get(TimerToken.requestId(token));
    if (request == null) {
      return;
    }
    if (request.isDone()) {
      removeIfSettled(request, now);
      return;
    }
    switch (kind) {
      case QUEUE -> {
        if (request.attempts().isEmpty()) {
          dispatchQueued(request, now);
        }
      }
      case LATE_ATTEMPT -> reportIfLate(request.attempts().get(TimerToken.attempt(token)), now);
      case HEDGE -> hedgeIfSlow(request, TimerToken.attempt(token), now);
      default -> throw new IllegalStateException("unexpected timer " + kind);
    }
  }

  private void reportIfLate(Attempt attempt, double now) {
    if (attempt.isRunning() && !attempt.isStreaming()) {
      admission.attemptLate(attempt, endpoints.ready(), now);
    }
  }

  private void hedgeIfSlow(InFlightRequest request, int attempt, double now) {
    if (!hedging.hedges(request, attempt, now)) {
      return;
    }
    EndpointStatistics endpoint = selector.select(request, endpoints.ready(), now);
    if (endpoint != null) {
      retryBudget.spend();
      send(request, endpoint, now);
    }
  }

  @Override
  public void responseStarted(double now, long requestId, int number, double elapsedMillis) {
    InFlightRequest request = requests.get(requestId);
    if (request != null && number < request.attempts().size()) {
      Attempt attempt = request.attempts().get(number);
      request.startStreaming();
      attempt.startStreaming();
      AttemptRecorder.recordLatency(attempt, elapsedMillis);
    }
  }

  @Override
  public void attemptFinished(double now, AttemptResult result) {
    InFlightRequest request = requests.get(result.requestId());
    if (request == null
        || result.attempt() >= request.attempts().size()
        || !request.attempts().get(result.attempt()).isRunning()) {
      return;
    }
    Attempt attempt = request.attempts().get(result.attempt());
    recordEnd(attempt, result, now);
    if (result.requestClosed() || request.isDone()) {
      finish(request, now);
    } else if (!request.hasRunningAttempt()) {
      if (retryPolicy.acquireRetry(result.outcome())) {
        dispatch(request, now);
      } else {
        finishUnserved(request, now);
      }
    }
  }

  private void recordEnd(Attempt attempt, AttemptResult result, double now) {
    AttemptOutcome outcome = result.outcome();
    EndpointStatistics endpoint = attempt.endpoint();
    attempt.finish(outcome);
    endpoint.attemptFinished(attempt);
    attempt.request().attemptFinished();
    KeyedRequestQueue.attemptFinished(
        attempt.request(), outcome, settings.rules().keySettleMillis(), now);
    AttemptRecorder.recordOutcome(attempt, result, now);
    admission.attemptFinished(attempt, result, endpoints.ready(), now);
    if (outcome == AttemptOutcome.OK && attempt.number() > 0) {
      retryBudget.furtherAttemptServed();
    }
    idleConnections.attemptFinished(endpoint, outcome, now);
    discovery.attemptFinished(endpoint, outcome, now);
  }

  // ---- Final responses

  /** Rejects a request where a repeat by its client is safe, and otherwise fails it. */
  private void finishUnserved(InFlightRequest request, double now) {
    if (RetryPolicy.isSafeToRepeat(request)) {
      actions.reject(request.id(), admission.retryAfterMillis(request));
    } else {
      actions.failRequest(request.id());
    }
    finish(request, now);
  }

  /** The request has its final response: attempts still running only waste work. */
  private void finish(InFlightRequest request, double now) {
    if (!request.isDone() && settings.limits().cancellation()) {
      for (Attempt attempt : request.attempts()) {
        if (attempt.isRunning() && !attempt.isStreaming()) {
          actions.cancelAttempt(request.id(), attempt.number());
        }
      }
    }
    request.markDone();
    removeIfSettled(request, now);
  }

  /** Removes a finished request once none of its attempts may be running, and frees its key. */
  private void removeIfSettled(InFlightRequest request, double now) {
    if (request.hasRunningAttempt()) {
      return;
    }
    if (KeyedRequestQueue.isSettling(request, now)) {
      actions.scheduleTimer(TimerToken.queue(request.id()), request.settlesAtMillis());
    } else if (requests.remove(request.id()) != null) {
      InFlightRequest next = keyedRequests.release(request);
      if (next != null) {
        dispatch(next, now);
      }
    }
  }

  @Override
  public void clientDisconnected(double now, long requestId) {
    InFlightRequest request = requests.get(requestId);
    if (request != null) {
      finish(request, now);
    }
  }

  // ---- Discovery

  @Override
  public void endpointsChanged(double now, EndpointUpdateType type, List<Endpoint> updates) {
    discovery.contacted(!updates.isEmpty(), now);
    if (type == EndpointUpdateType.FAILED) {
      discovery.callFailed(now);
      return;
    }
    discovery.callSucceeded();
    endpoints.update(type, updates, now);
    subset.update(endpoints.ready());
  }
}
