package loadbalancer.model;

import java.util.List;

/**
 * A class of requests.
 *
 * @param name its name on the wire
 * @param latencyObjectiveMillis a response within this time counts in full
 * @param objectivePerCost the objective grows by this many milliseconds for each millisecond of the
 *     request's own expected work
 * @param deadlineMillis how long a client waits, over all its retries
 * @param priorityWeight what a response within the objective is worth
 * @param lateResponseValue the share of the priority weight that is left after the objective
 * @param idempotency whether it may be sent again
 * @param deduplicationScope which endpoints drop repeats, if they do
 * @param deduplicationWindowMillis how long they do so, from the first attempt that may have run
 * @param streamed whether responses are streams
 * @param orderedByKey whether requests with the same key take turns in order of arrival; all such
 *     classes share their keys, and a request without a key is free
 * @param allowedZones the only zones that it may be sent to; null for all, empty for none
 * @param allowedMachineTypes the only machine types that it may be sent to; null for all, empty for
 *     none
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

  /** Whether placement allows an endpoint for this class, at any attempt. */
  public boolean allows(Endpoint endpoint) {
    return (allowedZones == null || allowedZones.contains(endpoint.zone()))
        && (allowedMachineTypes == null || allowedMachineTypes.contains(endpoint.machineType()));
  }

  /** A copy with another placement. */
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
