package loadbalancer.proxy;

import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicyActions;

/** A policy whose reactions to events are set by the test, and which records some events. */
public final class ScriptedPolicy implements LoadBalancingPolicy {

  public PolicyActions actions;
  public volatile List<Endpoint> endpoints = List.of();

  /** The reaction to a request; by default one attempt at the first upstream. */
  public volatile Consumer<ClientRequest> onRequest = request -> sendTo(0, request, 0);

  public volatile Consumer<AttemptResult> onResult = result -> {};

  /**
   * The reaction to the result of an attempt whose request has no response yet; by default, the
   * request fails.
   */
  public volatile BiConsumer<PolicyActions, AttemptResult> onUnansweredResult =
      (actions, result) -> actions.failRequest(result.requestId());

  /** The reaction to an endpoint update; none by default. */
  public volatile Consumer<EndpointUpdateType> onUpdate = type -> {};

  public volatile Runnable onTimer = () -> {};
  public volatile Runnable onStart = () -> {};
  public final LinkedBlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
  public final LinkedBlockingQueue<EndpointUpdateType> updates = new LinkedBlockingQueue<>();

  /** The ids of requests whose client has disconnected. */
  public final LinkedBlockingQueue<Long> disconnected = new LinkedBlockingQueue<>();

  /** Ended health checks, each as its outcome and load report. */
  public final LinkedBlockingQueue<String> healthChecks = new LinkedBlockingQueue<>();

  LoadBalancingPolicy attach(PolicyActions policyActions) {
    actions = policyActions;
    return this;
  }

  /**
   * Sends an attempt to the endpoint at an index of the endpoint list; a timeout of 0 lets the
   * attempt run until the deadline of the request.
   */
  public void sendTo(int upstreamIndex, ClientRequest request, double timeoutMillis) {
    actions.sendAttempt(request.id(), endpoints.get(upstreamIndex).id(), timeoutMillis);
  }

  /** Takes the next recorded item; fails the test if none is recorded in time. */
  public static <T> T takeNext(LinkedBlockingQueue<T> queue) throws InterruptedException {
    T item = queue.poll(HttpPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (item == null) {
      throw new AssertionError("nothing was recorded within " + HttpPeer.TIMEOUT_MILLIS + " ms");
    }
    return item;
  }

  /** The outcome of the next attempt to end. */
  public AttemptOutcome nextOutcome() throws InterruptedException {
    return takeNext(results).outcome();
  }

  @Override
  public void start(double now, PolicySettings settings, long seed) {
    onStart.run();
  }

  @Override
  public void endpointsChanged(double now, EndpointUpdateType type, List<Endpoint> newEndpoints) {
    if (type == EndpointUpdateType.CACHED || type == EndpointUpdateType.FULL) {
      endpoints = newEndpoints;
    }
    updates.add(type);
    onUpdate.accept(type);
  }

  @Override
  public void requestArrived(double now, ClientRequest request) {
    onRequest.accept(request);
  }

  @Override
  public void attemptFinished(double now, AttemptResult result) {
    results.add(result);
    onResult.accept(result);
    if (!result.requestClosed()) {
      onUnansweredResult.accept(actions, result);
    }
  }

  @Override
  public void responseStarted(double now, long requestId, int attemptNumber, double elapsedMillis) {
    throw new AssertionError("responseStarted was called, but no request class here is streamed");
  }

  @Override
  public void clientDisconnected(double now, long requestId) {
    disconnected.add(requestId);
  }

  @Override
  public void timerExpired(double now, long token) {
    onTimer.run();
  }

  @Override
  public void healthCheckCompleted(
      double now,
      long endpointId,
      AttemptOutcome outcome,
      double elapsedMillis,
      double[] loadReport) {
    healthChecks.add(outcome + " " + java.util.Arrays.toString(loadReport));
  }
}
