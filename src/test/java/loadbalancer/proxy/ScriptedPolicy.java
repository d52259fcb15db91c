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

/** A module that does what the test says, and remembers what its host told it. */
public final class ScriptedPolicy implements LoadBalancingPolicy {

  public PolicyActions actions;
  public volatile List<Endpoint> endpoints = List.of();

  /** What to do with a request; by default it goes to the first upstream until its deadline. */
  public volatile Consumer<ClientRequest> onRequest = request -> sendTo(0, request, 0);

  public volatile Consumer<AttemptResult> onResult = outcome -> {};

  /** What to do with an outcome that leaves its request open; by default it fails. */
  public volatile BiConsumer<PolicyActions, AttemptResult> onUnansweredResult =
      (to, outcome) -> to.failRequest(outcome.requestId());

  /** What to do with news; by default no more than remember it. */
  public volatile Consumer<EndpointUpdateType> onUpdate = change -> {};

  public volatile Runnable onTimer = () -> {};
  public volatile Runnable onStart = () -> {};
  public final LinkedBlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
  public final LinkedBlockingQueue<EndpointUpdateType> updates = new LinkedBlockingQueue<>();
  public final LinkedBlockingQueue<Long> disconnected = new LinkedBlockingQueue<>();
  public final LinkedBlockingQueue<String> healthChecks = new LinkedBlockingQueue<>();

  LoadBalancingPolicy attach(PolicyActions given) {
    actions = given;
    return this;
  }

  /** Sends a request to an upstream by its place in the list. */
  public void sendTo(int place, ClientRequest request, double timeout) {
    actions.sendAttempt(request.id(), endpoints.get(place).id(), timeout);
  }

  public static <T> T takeNext(LinkedBlockingQueue<T> queue) throws InterruptedException {
    T item = queue.poll(HttpPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (item == null) {
      throw new AssertionError("nothing came");
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
  public void attemptFinished(double now, AttemptResult outcome) {
    results.add(outcome);
    onResult.accept(outcome);
    if (!outcome.requestClosed()) {
      onUnansweredResult.accept(actions, outcome);
    }
  }

  @Override
  public void responseStarted(double now, long requestId, int attempt, double elapsed) {
    throw new AssertionError("nothing is streamed here");
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
