package loadbalancer.proxy.frontend;

import loadbalancer.model.ClientRequest;

/**
 * What {@link RequestValidator} has read from a request that it accepted: its ID, and all that the
 * policy is told of it but the number that the instance assigns.
 *
 * @param requestId the client's identifier of the request
 * @param requestClass index of the request class in the configuration
 * @param tenant index of the tenant in the configuration
 * @param key the ordering key, from the cookie {@code key}; 0 if there is none
 * @param deadlineMillis when the response has to be ready, in milliseconds of the instance's clock
 * @param costMillis the client's cost estimate, see {@link ClientRequest#costMillis}; 0 if unknown
 * @param clientRetry whether the client has marked the request as one that it has sent before
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

  /** Adds the number that identifies the request within the instance. */
  ClientRequest toClientRequest(long id) {
    return new ClientRequest(
        id, requestClass, tenant, key, deadlineMillis, costMillis, clientRetry, write);
  }
}
