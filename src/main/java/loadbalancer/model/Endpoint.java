package loadbalancer.model;

/**
 * An upstream server as discovery lists it.
 *
 * @param id opaque number: a hash of the ID in the endpoint list, or its address in the simulator
 * @param zone index of its zone
 * @param machineType index of its machine type
 * @param deduplicationGroup index of its deduplication group: the endpoints of a group share the
 *     idempotency keys of the requests that they have received
 * @param state whether it accepts requests
 * @param weight relative capacity as stated by the platform; 1 if unknown
 * @param startedAtMillis time at which its process last started, in milliseconds; 0 if it has been
 *     running for long
 */
public record Endpoint(
    long id,
    int zone,
    int machineType,
    int deduplicationGroup,
    EndpointState state,
    double weight,
    double startedAtMillis) {

  /** Returns a copy in another state. */
  public Endpoint withState(EndpointState newState) {
    return new Endpoint(
        id, zone, machineType, deduplicationGroup, newState, weight, startedAtMillis);
  }
}
