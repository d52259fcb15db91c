package loadbalancer.policy;

import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;

/**
 * Makes the decisions of one load balancer instance: it receives events and responds with actions.
 *
 * <p>A policy has no clock, thread or socket of its own. Its host calls one event method at a time
 * and carries out the {@link PolicyActions} that the policy calls during the event. All times and
 * durations are in milliseconds. {@code now} is the time of the event, on the clock of {@link
 * Endpoint#startedAtMillis}, and never decreases. The same events, settings and seed give the same
 * actions. Not thread-safe.
 */
public interface LoadBalancingPolicy {

  /**
   * Starts the policy. This is the first call; an {@link EndpointUpdateType#CACHED} list follows.
   */
  void start(double now, PolicySettings settings, long seed);

  /** The endpoint list has changed, or a call to discovery has failed. */
  void endpointsChanged(double now, EndpointUpdateType updateType, List<Endpoint> endpoints);

  /** A request has arrived; it must get exactly one final response. */
  void requestArrived(double now, ClientRequest request);

  /** An attempt has ended; called once for every {@link PolicyActions#sendAttempt}. */
  void attemptFinished(double now, AttemptResult result);

  /**
   * The streamed response of an attempt has begun. Timeout and deadline no longer apply.
   *
   * @param elapsedMillis time since the attempt was sent
   */
  void responseStarted(double now, long requestId, int attemptNumber, double elapsedMillis);

  /**
   * The client has disconnected: the request needs no final response. Results of its running
   * attempts still follow.
   */
  void clientDisconnected(double now, long requestId);

  /** A timer set by {@link PolicyActions#scheduleTimer} has expired. */
  void timerExpired(double now, long token);

  /**
   * A health check has ended.
   *
   * @param elapsedMillis time since the health check was sent
   * @param loadReport the endpoint's load report, or null without one
   */
  default void healthCheckCompleted(
      double now,
      long endpointId,
      AttemptOutcome outcome,
      double elapsedMillis,
      double[] loadReport) {}

  /** A message from another instance of the same tier has arrived. */
  default void peerMessageReceived(double now, int senderIndex, byte[] payload) {}
}
