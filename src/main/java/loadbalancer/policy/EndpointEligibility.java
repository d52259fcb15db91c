package loadbalancer.policy;

import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.Endpoint;
import loadbalancer.model.Idempotency;
import loadbalancer.model.LimitSettings;
import loadbalancer.model.RequestClass;

/**
 * Decides whether a request may be sent to an endpoint at all. This depends on the limits on
 * attempts, on the placement of the request class and, if an earlier attempt may have run, on
 * whether the request may be repeated at this endpoint and time without a second effect.
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

  /** Whether no earlier attempt may have run, or the target may be sent a repeat nonetheless. */
  private boolean mayRepeat(InFlightRequest request, Endpoint target, double now) {
    Attempt firstAttempt = request.firstAttemptThatMayHaveRun();
    RequestClass requestClass = request.requestClass();
    if (firstAttempt == null || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    // Connecting may delay the repeat by up to the connect timeout; even then it has to be sent
    // within the deduplication window.
    return requestClass.idempotency() == Idempotency.DEDUPLICATED
        && now + limits.connectTimeoutMillis()
            < firstAttempt.sentAtMillis() + requestClass.deduplicationWindowMillis()
        && shareDeduplication(
            requestClass.deduplicationScope(), firstAttempt.endpoint().listedEndpoint(), target);
  }

  /** Whether the target endpoint drops repeats of requests that the first endpoint has seen. */
  private static boolean shareDeduplication(
      DeduplicationScope scope, Endpoint firstEndpoint, Endpoint target) {
    if (scope == DeduplicationScope.ALL) {
      return true;
    }
    return scope == DeduplicationScope.ZONE
        ? firstEndpoint.zone() == target.zone()
        : firstEndpoint.deduplicationGroup() == target.deduplicationGroup();
  }
}
