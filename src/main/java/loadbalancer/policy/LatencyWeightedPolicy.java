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
 * Sends each attempt to an endpoint chosen at random with a probability in proportion to 1/cost,
 * see {@link EndpointCost}.
 *
 * <p>This class owns the requests in flight and handles the events. The decisions are made by one
 * class each: {@link AdmissionController} when a request arrives, {@link EndpointSelector} for each
 * attempt, {@link HedgingPolicy} while the attempt is running, {@link RetryPolicy} when it has
 * ended, {@link PendingRequests} and {@link KeyedRequestQueue} for requests that are queued, {@link
 * DiscoveryRefresh} and {@link IdleConnectionRelease} for discovery and connections.
 */
public final class LatencyWeightedPolicy implements LoadBalancingPolicy {

  private final PolicyActions actions;
  private final Map<Long, InFlightRequest> requestsById = new HashMap<>();
  private final KeyedRequestQueue keyedRequests = new KeyedRequestQueue();
  private final PendingRequests pendingRequests;
  private final RetryBudget retryBudget = new RetryBudget();
  private final RetryPolicy retryPolicy = new RetryPolicy(retryBudget);

  // The fields below depend on the settings and are set by start().
  private PolicySettings settings;
  private RequestClassStatistics[] requestClasses;
  private EndpointList endpointList;
  private EndpointSubset subset;
  private SlowStart slowStart;
  private EndpointSelector selector;
  private AdmissionController admissionController;
  private HedgingPolicy hedgingPolicy;
  private DiscoveryRefresh discoveryRefresh;
  private IdleConnectionRelease idleConnectionRelease;

  /** Creates a policy that requests its actions from the host through {@code actions}. */
  public LatencyWeightedPolicy(PolicyActions actions) {
    this.actions = actions;
    this.pendingRequests = new PendingRequests(actions);
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
    endpointList = new EndpointList(settings.machineTypeCount(), requestClasses.length, slowStart);
    hedgingPolicy = new HedgingPolicy(settings.limits(), retryBudget);
    idleConnectionRelease =
        new IdleConnectionRelease(actions, settings.limits().idleTimeoutMillis());
    createAdmissionAndSelection(random);
    discoveryRefresh = new DiscoveryRefresh(settings, actions, random, now);
    discoveryRefresh.start();
  }

  private void createAdmissionAndSelection(SplittableRandom random) {
    PlacementGroup[] placementGroups = PlacementGroup.group(requestClasses);
    RequestClassValue classValue = new RequestClassValue(settings.priorityByWork());
    admissionController =
        new AdmissionController(
            settings.tier(),
            settings.limits(),
            requestClasses,
            new SheddingPlan(classValue, settings.worstClassWeight()),
            random);
    selector =
        new EndpointSelector(
            new EndpointEligibility(settings.limits()),
            new EndpointCost(settings, placementGroups, slowStart),
            new QueueingLimit(settings.tier(), requestClasses, classValue),
            slowStart,
            random);
  }

  // ---- Arriving and queued requests

  @Override
  public void requestArrived(double now, ClientRequest clientRequest) {
    RequestClassStatistics classStatistics = requestClasses[clientRequest.requestClass()];
    InFlightRequest request = new InFlightRequest(clientRequest, classStatistics, now);
    requestsById.put(request.id(), request);
    retryBudget.requestArrived();
    classStatistics.recordArrival(clientRequest.costMillis(), clientRequest.retry());
    if (admissionController.shouldReject(request)) {
      rejectOrFail(request, now);
      return;
    }
    slowStart.grantBudget(request, endpointList.ready(), subset.stride(), now);
    keyedRequests.add(request);
    sendQueueOrReject(request, now);
  }

  /**
   * Sends the next attempt of a request if an endpoint can be selected for it.
   *
   * <p>Otherwise the request is queued if it has no attempt and its time in the queue is not over.
   * It is rejected or fails if it may not be queued, or if the selection left out an endpoint
   * because of the {@link QueueingLimit}.
   */
  private void sendQueueOrReject(InFlightRequest request, double now) {
    double latestSendMillis = PendingRequests.latestSendMillis(request);
    PendingRequests.limitQueueTime(request, latestSendMillis);
    boolean isFirstOfKey = KeyedRequestQueue.isFirstOfKey(request);
    EndpointStatistics endpoint =
        isFirstOfKey && now < latestSendMillis
            ? selector.select(request, endpointList.ready(), now)
            : null;
    if (endpoint != null) {
      send(request, endpoint, now);
    } else if (PendingRequests.mayStayQueued(request, now)
        && !(isFirstOfKey && selector.queueingLimitReached())) {
      pendingRequests.queue(request, isFirstOfKey, now);
    } else {
      rejectOrFail(request, now);
    }
  }

  /**
   * Tries again to send the first attempt of a queued request. Called when its queue timer expires.
   *
   * <p>While the selections of its class are postponed, this only sets the timer again. If no
   * endpoint can be selected, the request stays queued and the selections of its class are
   * postponed; or it is rejected or fails, see {@link #sendQueueOrReject}.
   */
  private void trySendQueued(InFlightRequest request, double now) {
    if (pendingRequests.maySelect(request, now)) {
      sendQueueOrReject(request, now);
      if (!request.isDone() && request.attempts().isEmpty()) {
        PendingRequests.selectionFailed(request, now);
      }
    }
  }

  // ---- Attempts

  /**
   * Sends an attempt to the endpoint, with a timer for hedging it or else a timeout that may leave
   * time for a retry. In the tier where attempts are monitored for signs of overload, also sets a
   * timer that expires when the attempt counts as one, {@link OverloadDetector#lateAfterMillis}.
   */
  private void send(InFlightRequest request, EndpointStatistics endpoint, double now) {
    double rejectedShareAtSend =
        request.classStatistics().placementGroup().overload().rejectedShare();
    Attempt attempt = new Attempt(request, endpoint, now, rejectedShareAtSend);
    double timeoutMillis = request.usefulUntilMillis() - now;
    if (hedgingPolicy.isHedgeable(request, timeoutMillis)) {
      actions.scheduleTimer(
          TimerToken.hedge(request.id(), attempt.number()),
          now + HedgingPolicy.slowAfterMillis(request));
    } else {
      timeoutMillis = hedgingPolicy.timeoutMillis(request, timeoutMillis);
    }
    request.addAttempt(attempt);
    endpoint.attemptSent(attempt);
    if (admissionController.monitorsAttempts()) {
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
      discoveryRefresh.restartWatch();
      return;
    }
    InFlightRequest request = requestsById.get(TimerToken.requestId(token));
    if (request == null) {
      return;
    }
    if (request.isDone()) {
      removeIfComplete(request, now);
      return;
    }
    switch (kind) {
      case QUEUE -> {
        if (request.attempts().isEmpty()) {
          trySendQueued(request, now);
        }
      }
      case LATE_ATTEMPT ->
          reportIfLate(request.attempts().get(TimerToken.attemptNumber(token)), now);
      case HEDGE -> hedgeIfSlow(request, TimerToken.attemptNumber(token), now);
      default -> throw new IllegalStateException("unexpected timer kind: " + kind);
    }
  }

  private void reportIfLate(Attempt attempt, double now) {
    if (attempt.isRunning() && !attempt.isStreaming()) {
      admissionController.attemptLate(attempt, endpointList.ready(), now);
    }
  }

  private void hedgeIfSlow(InFlightRequest request, int attemptNumber, double now) {
    if (!hedgingPolicy.shouldHedge(request, attemptNumber, now)) {
      return;
    }
    EndpointStatistics endpoint = selector.select(request, endpointList.ready(), now);
    if (endpoint != null) {
      retryBudget.spend();
      send(request, endpoint, now);
    }
  }

  @Override
  public void responseStarted(double now, long requestId, int attemptNumber, double elapsedMillis) {
    InFlightRequest request = requestsById.get(requestId);
    if (request != null && attemptNumber < request.attempts().size()) {
      Attempt attempt = request.attempts().get(attemptNumber);
      request.startStreaming();
      attempt.startStreaming();
      AttemptRecorder.recordLatency(attempt, elapsedMillis);
    }
  }

  @Override
  public void attemptFinished(double now, AttemptResult result) {
    InFlightRequest request = requestsById.get(result.requestId());
    if (request == null
        || result.attempt() >= request.attempts().size()
        || !request.attempts().get(result.attempt()).isRunning()) {
      return;
    }
    Attempt attempt = request.attempts().get(result.attempt());
    recordAttemptEnd(attempt, result, now);
    if (result.requestClosed() || request.isDone()) {
      finish(request, now);
    } else if (!request.hasRunningAttempt()) {
      if (retryPolicy.tryAcquireRetry(result.outcome())) {
        sendQueueOrReject(request, now);
      } else {
        rejectOrFail(request, now);
      }
    }
  }

  private void recordAttemptEnd(Attempt attempt, AttemptResult result, double now) {
    AttemptOutcome outcome = result.outcome();
    EndpointStatistics endpoint = attempt.endpoint();
    attempt.finish(outcome);
    endpoint.attemptFinished(attempt);
    attempt.request().attemptFinished();
    KeyedRequestQueue.attemptFinished(
        attempt.request(), outcome, settings.rules().keySettleMillis(), now);
    AttemptRecorder.recordOutcome(attempt, result, now);
    admissionController.attemptFinished(attempt, result, endpointList.ready(), now);
    if (outcome == AttemptOutcome.OK && attempt.number() > 0) {
      retryBudget.retryOrHedgeServed();
    }
    idleConnectionRelease.attemptFinished(endpoint, outcome, now);
    discoveryRefresh.attemptFinished(endpoint, outcome, now);
  }

  // ---- Final responses

  /** Rejects a request if its client may safely send it again; otherwise fails it. */
  private void rejectOrFail(InFlightRequest request, double now) {
    if (RetryPolicy.isSafeToRepeat(request)) {
      actions.reject(request.id(), admissionController.retryAfterMillis(request));
    } else {
      actions.failRequest(request.id());
    }
    finish(request, now);
  }

  /**
   * Ends a request that has its final response or that no longer needs one. Attempts that are still
   * running would only waste work and are cancelled, except streamed responses that have begun.
   */
  private void finish(InFlightRequest request, double now) {
    if (!request.isDone() && settings.limits().cancellation()) {
      for (Attempt attempt : request.attempts()) {
        if (attempt.isRunning() && !attempt.isStreaming()) {
          actions.cancelAttempt(request.id(), attempt.number());
        }
      }
    }
    request.markDone();
    removeIfComplete(request, now);
  }

  /**
   * Removes a finished request and releases its key once none of its attempts may still be running;
   * otherwise checks again when the key is no longer reserved or the next attempt ends.
   */
  private void removeIfComplete(InFlightRequest request, double now) {
    if (request.hasRunningAttempt()) {
      return;
    }
    if (KeyedRequestQueue.isKeyReserved(request, now)) {
      actions.scheduleTimer(TimerToken.queue(request.id()), request.keyReservedUntilMillis());
    } else if (requestsById.remove(request.id()) != null) {
      InFlightRequest nextOfKey = keyedRequests.release(request);
      if (nextOfKey != null) {
        sendQueueOrReject(nextOfKey, now);
      }
    }
  }

  @Override
  public void clientDisconnected(double now, long requestId) {
    InFlightRequest request = requestsById.get(requestId);
    if (request != null) {
      finish(request, now);
    }
  }

  // ---- Discovery

  @Override
  public void endpointsChanged(double now, EndpointUpdateType updateType, List<Endpoint> updates) {
    discoveryRefresh.recordContact(!updates.isEmpty(), now);
    if (updateType == EndpointUpdateType.FAILED) {
      discoveryRefresh.callFailed(now);
      return;
    }
    discoveryRefresh.callSucceeded();
    endpointList.update(updateType, updates, now);
    subset.update(endpointList.ready());
  }
}
