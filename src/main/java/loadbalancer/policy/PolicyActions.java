package loadbalancer.policy;

/**
 * The actions that a {@link LoadBalancingPolicy} can request from its host. Called only during an
 * event method and on its thread; every action takes effect at the time of the event.
 */
public interface PolicyActions {

  /** Peer index of a message to all other instances of the tier. */
  int ALL_PEERS = -1;

  /**
   * Sends an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of these
   * calls.
   *
   * @param timeoutMillis time from this call until the attempt times out; 0 for the request's
   *     deadline
   */
  void sendAttempt(long requestId, long endpointId, double timeoutMillis);

  /**
   * Gives the request its final response: it was rejected, and the client may safely retry it.
   *
   * @param retryAfterMillis time after which the client should retry; 0 for no advice
   */
  void reject(long requestId, double retryAfterMillis);

  /** Gives the request its final response: it failed and may or may not have had an effect. */
  void failRequest(long requestId);

  /** Cancels a running attempt; the others of the request go on. */
  void cancelAttempt(long requestId, int attemptNumber);

  /** Sends a health check. {@link LatencyWeightedPolicy} does not use it. */
  void checkHealth(long endpointId);

  /** Closes this instance's idle connections to an endpoint. */
  void closeIdleConnections(long endpointId);

  /**
   * Fetches the whole endpoint list from discovery once. {@link LatencyWeightedPolicy} does not use
   * it.
   */
  void fetchEndpoints();

  /**
   * Starts or stops the watch of the endpoint list.
   *
   * @param enabled true to start the watch or to restart a running one; false to stop it
   */
  void watchEndpoints(boolean enabled);

  /** Schedules a {@link LoadBalancingPolicy#timerExpired} event at or after the given time. */
  void scheduleTimer(long token, double atMillis);

  /**
   * Sends a message to another instance of the tier, or to all with {@link #ALL_PEERS}. {@link
   * LatencyWeightedPolicy} does not use it.
   */
  void sendToPeer(int peerIndex, byte[] payload);

  /** Writes a line to the host's log. */
  void log(String text);
}
