package loadbalancer.policy;

/**
 * What a {@link LoadBalancingPolicy} can ask of its host. Called only during an event method, on
 * the thread of that event; every action takes effect at the time of the event.
 */
public interface PolicyActions {

  /** Every other instance of the tier. */
  int ALL_PEERS = -1;

  /**
   * Sends an attempt; those of a request are numbered 0, 1, 2 ... in the order of these calls.
   *
   * @param timeoutMillis from now on; 0 for the request's deadline
   */
  void sendAttempt(long requestId, long endpointId, double timeoutMillis);

  /**
   * Final response: rejected, and trying again is harmless.
   *
   * @param retryAfterMillis when to come back; 0 gives no advice
   */
  void reject(long requestId, double retryAfterMillis);

  /** Final response: failed, with no promise about effects. */
  void failRequest(long requestId);

  /** Stops waiting for one attempt. */
  void cancelAttempt(long requestId, int attempt);

  /** Sends a health check. {@link LatencyWeightedPolicy} does not use it. */
  void checkHealth(long endpointId);

  /** Closes this instance's idle connections to an endpoint. */
  void closeIdleConnections(long endpointId);

  /**
   * Asks discovery once for the whole endpoint list. {@link LatencyWeightedPolicy} does not use it.
   */
  void fetchEndpoints();

  /** Starts to watch the endpoint list anew, or ends the watch. */
  void watchEndpoints(boolean enabled);

  /** Asks for a {@link LoadBalancingPolicy#timerExpired} event at or after the given time. */
  void scheduleTimer(long token, double atMillis);

  /**
   * Sends a message to one instance of this tier, or to all with {@link #ALL_PEERS}. {@link
   * LatencyWeightedPolicy} does not use it.
   */
  void sendToPeer(int peerIndex, byte[] payload);

  /** Writes a line to the host's log. */
  void log(String text);
}
