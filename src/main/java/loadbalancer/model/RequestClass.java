package loadbalancer.model;

import java.util.List;

/**
 * A request class: requests with the same objectives, idempotency and placement.
 *
 * @param name its name on the wire
 * @param latencyObjectiveMillis a response within this time has its full value
 * @param objectivePerCost milliseconds by which the objective grows for each millisecond of the
 *     request's own cost estimate
 * @param deadlineMillis time for which a client waits for a response, including all its retries
 * @param priorityWeight value of a response within the objective
 * @param lateResponseValue value of a response after the objective, as a share of the priority
 *     weight
 * @param idempotency whether a request may be sent again after an attempt that may have run
 * @param deduplicationScope the endpoints that drop repeats, if the class is deduplicated
 * @param deduplicationWindowMillis time for which they do so, from the send of the first attempt
 *     that may have run
 * @param streamed whether responses are streams
 * @param orderedByKey whether requests with the same ordering key are sent one at a time, in order
 *     of arrival. The order spans all classes for which this is true; a request without a key is
 *     not ordered.
 * @param allowedZones the zones that requests may be sent to; null for all, empty for none
 * @param allowedMachineTypes the machine types that requests may be sent to; null for all, empty
 *     for none
 */
public record RequestClass(
    String name,
    double latencyObjectiveMillis,
    double objectivePerCost,
    double deadlineMillis,
    double priorityWeight,
    double lateResponseValue,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    double deduplicationWindowMillis,
    boolean streamed,
    boolean orderedByKey,
    List<Integer> allowedZones,
    List<Integer> allowedMachineTypes) {

  /** Whether the placement of this class allows an endpoint, for any attempt of a request. */
  public boolean allows(Endpoint endpoint) {
    return (allowedZones == null || allowedZones.contains(endpoint.zone()))
        && (allowedMachineTypes == null || allowedMachineTypes.contains(endpoint.machineType()));
  }

  /** Returns a copy with another placement. */
  public RequestClass withPlacement(List<Integer> zones, List<Integer> machineTypes) {
    return new RequestClass(
        name,
        latencyObjectiveMillis,
        objectivePerCost,
        deadlineMillis,
        priorityWeight,
        lateResponseValue,
        idempotency,
        deduplicationScope,
        deduplicationWindowMillis,
        streamed,
        orderedByKey,
        zones,
        machineTypes);
  }
}
