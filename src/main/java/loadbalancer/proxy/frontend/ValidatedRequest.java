package loadbalancer.proxy.frontend;

import loadbalancer.model.ClientRequest;

/**
 * A request that {@link RequestValidator} accepted, as the policy needs it, but for its number.
 *
 * @param requestId the client's identifier of the request
 * @param requestClass index of the request class in the configuration
 * @param tenant index of the tenant in the configuration
 * @param key the ordering key, from the cookie {@code key}; 0 for none
 * @param deadlineMillis when the response has to be ready, in milliseconds of the event loop's
 *     clock
 * @param costMillis expected work, see {@link ClientRequest#costMillis}; 0 if unknown
 * @param clientRetry whether the client has sent the request before
 * @param write whether the request may change state
 */
public record ValidatedRequest(
    String requestId,
    int requestClass,
    int tenant,
    long key,
    double deadlineMillis,
    double costMillis,
    boolean clientRetry,
    boolean write) {

  ClientRequest toClientRequest(long id) {
    return new ClientRequest(
        id, requestClass, tenant, key, deadlineMillis, costMillis, clientRetry, write);
  }
}
