package loadbalancer.benchmark;

import loadbalancer.policy.PolicyActions;

/**
 * Actions of a policy that is not expected to take any: each throws {@link BenchmarkException}.
 * Subclasses override the actions that their scenario allows.
 */
abstract class UnexpectedPolicyActions implements PolicyActions {

  private final String scenario;

  /**
   * Creates actions that all throw.
   *
   * @param scenario the end of the exception's message, as in "unexpected action of the policy:
   *     sendAttempt in a balancer without clients"
   */
  UnexpectedPolicyActions(String scenario) {
    this.scenario = scenario;
  }

  @Override
  public void sendAttempt(long requestId, long endpointId, double timeoutMillis) {
    throw unexpected("sendAttempt");
  }

  @Override
  public void reject(long requestId, double retryAfterMillis) {
    throw unexpected("reject");
  }

  @Override
  public void failRequest(long requestId) {
    throw unexpected("failRequest");
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    throw unexpected("cancelAttempt");
  }

  @Override
  public void checkHealth(long endpointId) {
    throw unexpected("checkHealth");
  }

  @Override
  public void closeIdleConnections(long endpointId) {
    throw unexpected("closeIdleConnections");
  }

  @Override
  public void fetchEndpoints() {
    throw unexpected("fetchEndpoints");
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    throw unexpected("watchEndpoints");
  }

  @Override
  public void scheduleTimer(long token, double atMillis) {
    throw unexpected("scheduleTimer");
  }

  @Override
  public void sendToPeer(int peerIndex, byte[] payload) {
    throw unexpected("sendToPeer");
  }

  private BenchmarkException unexpected(String action) {
    return new BenchmarkException("unexpected action of the policy: " + action + " " + scenario);
  }
}
