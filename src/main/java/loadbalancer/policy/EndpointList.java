package loadbalancer.policy;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;

/** The endpoints that discovery lists, with the statistics of each. */
final class EndpointList {

  private final Map<Long, EndpointStatistics> endpoints = new LinkedHashMap<>();
  private final MachineTypeStatistics[] machineTypes;
  private final int requestClassCount;
  private final SlowStart slowStart;
  private List<EndpointStatistics> ready = List.of();

  EndpointList(int machineTypeCount, int requestClassCount, SlowStart slowStart) {
    machineTypes = new MachineTypeStatistics[machineTypeCount];
    Arrays.setAll(
        machineTypes, i -> new MachineTypeStatistics(RequestClassStatistics.MIN_AVERAGE_GAIN));
    this.requestClassCount = requestClassCount;
    this.slowStart = slowStart;
  }

  /** The endpoints that accept new requests, in the order of the list. */
  List<EndpointStatistics> ready() {
    return ready;
  }

  /**
   * Applies an update from discovery: the whole list, or the endpoints that changed. Draining and
   * removed endpoints are no longer ready from then on.
   */
  void update(EndpointUpdateType updateType, List<Endpoint> updates, double now) {
    Map<Long, EndpointStatistics> previousEndpoints = new LinkedHashMap<>(endpoints);
    if (updateType != EndpointUpdateType.DELTA) {
      endpoints.clear();
    }
    for (Endpoint update : updates) {
      apply(update, previousEndpoints.get(update.id()), now);
    }
    ready =
        endpoints.values().stream()
            .filter(endpoint -> endpoint.listedEndpoint().state() == EndpointState.READY)
            .toList();
  }

  /** Applies the update of one endpoint; {@code previous} is null if it was not listed before. */
  private void apply(Endpoint update, EndpointStatistics previous, double now) {
    if (update.state() == EndpointState.REMOVED) {
      endpoints.remove(update.id());
    } else if (previous == null
        || previous.listedEndpoint().startedAtMillis() != update.startedAtMillis()) {
      // After a restart an endpoint warms up again, and what was known of it no longer applies.
      endpoints.put(update.id(), newEndpoint(update, now));
      slowStart.endpointAdded(update);
    } else {
      previous.setListedEndpoint(update);
      endpoints.put(update.id(), previous);
    }
  }

  private EndpointStatistics newEndpoint(Endpoint endpoint, double now) {
    int machineTypeIndex = Math.min(endpoint.machineType(), machineTypes.length - 1);
    return new EndpointStatistics(
        endpoint,
        machineTypes[machineTypeIndex],
        requestClassCount,
        now,
        slowStart.initialAccumulatedProbability(endpoint));
  }
}
