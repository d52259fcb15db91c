package loadbalancer.policy;

import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.Endpoint;
import loadbalancer.model.Idempotency;
import loadbalancer.model.LimitSettings;
import loadbalancer.model.RequestClass;

/**
 * Whether a request may be sent to an endpoint at all: the limits on attempts, placement, and for a
 * repeat of an attempt that may have run, the endpoints and the time in which it has no second
 * effect.
 */
final class EndpointEligibility {

  private final LimitSettings limits;

  EndpointEligibility(LimitSettings limits) {
    this.limits = limits;
  }

  boolean mayReceive(EndpointStatistics endpoint, InFlightRequest request, double now) {
    return mayHaveAnotherAttempt(request)
        && request.requestClass().allows(endpoint.listedEndpoint())
        && mayRepeat(request, endpoint.listedEndpoint(), now);
  }

  private boolean mayHaveAnotherAttempt(InFlightRequest request) {
    return request.attempts().size() < limits.maxAttempts()
        && (!request.hasRunningAttempt() || limits.parallelAttempts());
  }

  private boolean mayRepeat(InFlightRequest request, Endpoint target, double now) {
    Attempt first = request.firstAttemptThatMayHaveRun();
    RequestClass type = request.requestClass();
    if (first == null || type.idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    // The repeat may start only after a connect timeout, which has to be within the window too.
    return type.idempotency() == Idempotency.DEDUPLICATED
        && now + limits.connectTimeoutMillis()
            < first.sentAtMillis() + type.deduplicationWindowMillis()
        && shareDeduplication(type.deduplicationScope(), first.endpoint().listedEndpoint(), target);
  }

  /** Whether the target knows the idempotency keys that the first endpoint has seen. */
  private static boolean shareDeduplication(
      DeduplicationScope scope, Endpoint first, Endpoint target) {
    if (scope == DeduplicationScope.ALL) {
      return true;
    }
    return scope == DeduplicationScope.ZONE
        ? first.zone() == target.zone()
        : first.deduplicationGroup() == target.deduplicationGroup();
  }
}
