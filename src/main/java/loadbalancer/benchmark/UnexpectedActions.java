package loadbalancer.benchmark;

import loadbalancer.policy.PolicyActions;

/**
 * A host that expects no action of its policy: every one fails the run. A subclass overrides those
 * that its scenario allows.
 */
abstract class UnexpectedActions implements PolicyActions {

  private final String scenario;

  /** Creates a host; the scenario ends the message "the policy asked for an attempt ...". */
  UnexpectedActions(String scenario) {
    this.scenario = scenario;
  }

  @Override
  public void sendAttempt(long requestId, long endpointId, double timeoutMillis) {
    throw unexpected("an attempt");
  }

  @Override
  public void reject(long requestId, double retryAfterMillis) {
    throw unexpected("a rejection");
  }

  @Override
  public void failRequest(long requestId) {
    throw unexpected("a failure");
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    throw unexpected("a cancelled attempt");
  }

  @Override
  public void checkHealth(long endpointId) {
    throw unexpected("a health check");
  }

  @Override
  public void closeIdleConnections(long endpointId) {
    throw unexpected("a close");
  }

  @Override
  public void fetchEndpoints() {
    throw unexpected("a fetch");
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    throw unexpected("a watch");
  }

  @Override
  public void scheduleTimer(long token, double atMillis) {
    throw unexpected("a timer");
  }

  @Override
  public void sendToPeer(int peerIndex, byte[] payload) {
    throw unexpected("a message");
  }

  private BenchmarkException unexpected(String action) {
    return new BenchmarkException("the policy asked for " + action + " " + scenario);
  }
}
