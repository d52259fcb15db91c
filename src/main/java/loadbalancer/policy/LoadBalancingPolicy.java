package loadbalancer.policy;

import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;

/**
 * The decisions of one load balancer instance: events go in, actions come out.
 *
 * <p>An instance has no clock, thread or socket of its own. Its host calls one event method at a
 * time, each with the time at which the event happens, and carries out what the instance asks of
 * its {@link PolicyActions} during that call. All times and durations are in milliseconds; the
 * clock is that of {@link Endpoint#startedAtMillis} and never goes back. The same events, settings
 * and seed give the same actions. Not thread-safe.
 */
public interface LoadBalancingPolicy {

  /** Starts the instance; the first call, followed by an {@link EndpointUpdateType#CACHED} list. */
  void start(double now, PolicySettings settings, long seed);

  /** The endpoint list has changed, or a call to discovery has failed. */
  void endpointsChanged(double now, EndpointUpdateType type, List<Endpoint> endpoints);

  /** A request has arrived; the instance now owes it exactly one final response. */
  void requestArrived(double now, ClientRequest request);

  /** An attempt has ended; called once for every {@link PolicyActions#sendAttempt}. */
  void attemptFinished(double now, AttemptResult result);

  /** The streamed response of an attempt has begun; timeout and deadline no longer apply. */
  void responseStarted(double now, long requestId, int attempt, double elapsedMillis);

  /** The client has left; nothing more is owed. Results of running attempts still follow. */
  void clientDisconnected(double now, long requestId);

  /** A timer set by {@link PolicyActions#scheduleTimer} is due. */
  void timerExpired(double now, long token);

  /** A health check has ended; {@code loadReport} is null if none came. */
  default void healthCheckCompleted(
      double now,
      long endpointId,
      AttemptOutcome outcome,
      double elapsedMillis,
      double[] loadReport) {}

  /** A message has come from another instance of the same tier. */
  default void peerMessageReceived(double now, int senderIndex, byte[] payload) {}
}
