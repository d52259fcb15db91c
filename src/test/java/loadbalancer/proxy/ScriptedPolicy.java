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

/** A policy whose reactions the test sets, and which records its events. */
public final class ScriptedPolicy implements LoadBalancingPolicy {

  public PolicyActions actions;
  public volatile List<Endpoint> endpoints = List.of();

  /** The reaction to a request; by default one attempt at the first upstream. */
  public volatile Consumer<ClientRequest> onRequest = request -> sendTo(0, request, 0);

  public volatile Consumer<AttemptResult> onResult = result -> {};

  /** The reaction to a result that leaves its request open; by default the request fails. */
  public volatile BiConsumer<PolicyActions, AttemptResult> onUnansweredResult =
      (actions, result) -> actions.failRequest(result.requestId());

  /** The reaction to an endpoint update; none by default. */
  public volatile Consumer<EndpointUpdateType> onUpdate = change -> {};

  public volatile Runnable onTimer = () -> {};
  public volatile Runnable onStart = () -> {};
  public final LinkedBlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
  public final LinkedBlockingQueue<EndpointUpdateType> updates = new LinkedBlockingQueue<>();
  public final LinkedBlockingQueue<Long> disconnected = new LinkedBlockingQueue<>();
  public final LinkedBlockingQueue<String> healthChecks = new LinkedBlockingQueue<>();

  LoadBalancingPolicy attach(PolicyActions policyActions) {
    actions = policyActions;
    return this;
  }

  /** Sends a request to an upstream by its index in the endpoint list. */
  public void sendTo(int index, ClientRequest request, double timeout) {
    actions.sendAttempt(request.id(), endpoints.get(index).id(), timeout);
  }

  public static <T> T takeNext(LinkedBlockingQueue<T> queue) throws InterruptedException {
    T item = queue.poll(HttpPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (item == null) {
      throw new AssertionError("nothing was queued");
    }
    return item;
  }

  public AttemptOutcome nextOutcome() throws InterruptedException {
    return takeNext(results).outcome();
  }

  @Override
  public void start(double now, PolicySettings settings, long seed) {
    onStart.run();
  }

  @Override
  public void endpointsChanged(double now, EndpointUpdateType change, List<Endpoint> list) {
    if (change == EndpointUpdateType.CACHED || change == EndpointUpdateType.FULL) {
      endpoints = list;
    }
    updates.add(change);
    onUpdate.accept(change);
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
  public void responseStarted(double now, long requestId, int attempt, double elapsed) {
    throw new AssertionError("no response is streamed");
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
      double now, long upstream, AttemptOutcome result, double elapsed, double[] report) {
    healthChecks.add(result + " " + java.util.Arrays.toString(report));
  }
}
