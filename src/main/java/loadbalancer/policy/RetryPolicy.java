package loadbalancer.policy;

import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.Idempotency;
import loadbalancer.model.RequestClass;

/** Decides whether a request is retried, and whether its client may safely retry it. */
final class RetryPolicy {

  private final RetryBudget retryBudget;

  RetryPolicy(RetryBudget retryBudget) {
    this.retryBudget = retryBudget;
  }

  /**
   * Whether a request may be retried after an attempt with this outcome; takes a token for the
   * retry. A retry after a failed connect needs no token, as the failed attempt caused the endpoint
   * no work. A request is not retried after an attempt that this instance could not send.
   */
  boolean tryAcquireRetry(AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.NOT_SENT) {
      return false;
    }
    if (outcome == AttemptOutcome.CONNECT_FAILED) {
      return true;
    }
    if (!retryBudget.hasToken()) {
      return false;
    }
    retryBudget.spend();
    return true;
  }

  /**
   * Whether the request has no second effect if the client sends it again: only then may it be
   * rejected.
   */
  static boolean isSafeToRepeat(InFlightRequest request) {
    RequestClass requestClass = request.requestClass();
    return requestClass.idempotency() == Idempotency.IDEMPOTENT
        || request.firstAttemptThatMayHaveRun() == null
        || (requestClass.idempotency() == Idempotency.DEDUPLICATED
            && requestClass.deduplicationScope() == DeduplicationScope.ALL);
  }
}
