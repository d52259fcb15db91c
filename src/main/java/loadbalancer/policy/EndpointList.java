package loadbalancer.policy;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;

/** The endpoints that discovery lists, with the statistics of each, and those that are ready. */
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

  /** The endpoints that accept requests, in the order in which they were listed. */
  List<EndpointStatistics> ready() {
    return ready;
  }

  /** Applies a full list or a change. Draining and removed endpoints stop being ready at once. */
  void update(EndpointUpdateType type, List<Endpoint> updates, double now) {
    Map<Long, EndpointStatistics> before = new LinkedHashMap<>(endpoints);
    if (type != EndpointUpdateType.DELTA) {
      endpoints.clear();
    }
    for (Endpoint update : updates) {
      apply(update, before.get(update.id()), now);
    }
    ready =
        endpoints.values().stream()
            .filter(endpoint -> endpoint.listedEndpoint().state() == EndpointState.READY)
            .toList();
  }

  private void apply(Endpoint update, EndpointStatistics known, double now) {
    if (update.state() == EndpointState.REMOVED) {
      endpoints.remove(update.id());
    } else if (known == null
        || known.listedEndpoint().startedAtMillis() != update.startedAtMillis()) {
      // A restarted endpoint is a new one: warming up, without evidence.
      endpoints.put(update.id(), newEndpoint(update, now));
      slowStart.endpointStarted(update);
    } else {
      known.setEndpoint(update);
      endpoints.put(update.id(), known);
    }
  }

  private EndpointStatistics newEndpoint(Endpoint listed, double now) {
    int machineType = Math.min(listed.machineType(), machineTypes.length - 1);
    return new EndpointStatistics(
        listed,
        machineTypes[machineType],
        requestClassCount,
        now,
        slowStart.initialAccumulatedProbability(listed));
  }
}
