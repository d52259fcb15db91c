package loadbalancer.policy;

import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.Idempotency;
import loadbalancer.model.RequestClass;

/** Whether a request gets another attempt, and whether its client may safely retry it. */
final class RetryPolicy {

  private final RetryBudget budget;

  RetryPolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /**
   * Whether the budget allows another attempt after one with this outcome; takes the token. An
   * attempt without a connection cost the endpoint no work and needs none.
   */
  boolean acquireRetry(AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.NOT_SENT) {
      return false;
    }
    if (outcome == AttemptOutcome.CONNECT_FAILED) {
      return true;
    }
    if (!budget.hasToken()) {
      return false;
    }
    budget.spend();
    return true;
  }

  /** Whether a repeat by the client can have no second effect: only then may it be rejected. */
  static boolean isSafeToRepeat(InFlightRequest request) {
    RequestClass type = request.requestClass();
    return type.idempotency() == Idempotency.IDEMPOTENT
        || request.firstAttemptThatMayHaveRun() == null
        || (type.idempotency() == Idempotency.DEDUPLICATED
            && type.deduplicationScope() == DeduplicationScope.ALL);
  }
}
