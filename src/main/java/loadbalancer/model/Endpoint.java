package loadbalancer.model;

/**
 * One upstream server as discovery lists it.
 *
 * @param id opaque number: a hash of the ID that discovery gives, or in the simulator its address
 * @param zone index of its zone
 * @param machineType index of its machine type
 * @param deduplicationGroup the endpoints of one group share the idempotency keys that they have
 *     seen
 * @param state whether it accepts requests
 * @param weight relative size as the platform states it; 1 if unknown
 * @param startedAtMillis when its process last started, in milliseconds; 0 for long ago
 */
public record Endpoint(
    long id,
    int zone,
    int machineType,
    int deduplicationGroup,
    EndpointState state,
    double weight,
    double startedAtMillis) {

  /** A copy in another state. */
  public Endpoint withState(EndpointState newState) {
    return new Endpoint(
        id, zone, machineType, deduplicationGroup, newState, weight, startedAtMillis);
  }
}
