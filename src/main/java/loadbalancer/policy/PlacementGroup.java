package loadbalancer.policy;

import java.util.Arrays;
import java.util.Objects;
import loadbalancer.model.Endpoint;
import loadbalancer.model.RequestClass;

/** The request classes that may go to the same endpoints; they share one overload level. */
final class PlacementGroup {

  private final RequestClass placement;
  private final RequestClassStatistics[] classes;
  private final OverloadDetector overload;

  private PlacementGroup(RequestClass placement, RequestClassStatistics[] allClasses) {
    this.placement = placement;
    this.classes =
        Arrays.stream(allClasses)
            .filter(other -> samePlacement(placement, other.requestClass()))
            .toArray(RequestClassStatistics[]::new);
    this.overload = new OverloadDetector(placement);
  }

  /** Puts each class into the group of its placement; the groups follow their first classes. */
  static PlacementGroup[] group(RequestClassStatistics[] allClasses) {
    PlacementGroup[] groups =
        Arrays.stream(allClasses)
            .filter(type -> firstOfPlacement(type, allClasses) == type)
            .map(type -> new PlacementGroup(type.requestClass(), allClasses))
            .toArray(PlacementGroup[]::new);
    for (PlacementGroup group : groups) {
      for (RequestClassStatistics member : group.classes) {
        member.setPlacementGroup(group);
      }
    }
    return groups;
  }

  private static RequestClassStatistics firstOfPlacement(
      RequestClassStatistics type, RequestClassStatistics[] allClasses) {
    return Arrays.stream(allClasses)
        .filter(other -> samePlacement(type.requestClass(), other.requestClass()))
        .findFirst()
        .orElse(type);
  }

  private static boolean samePlacement(RequestClass one, RequestClass other) {
    return Objects.equals(one.allowedZones(), other.allowedZones())
        && Objects.equals(one.allowedMachineTypes(), other.allowedMachineTypes());
  }

  RequestClassStatistics[] classes() {
    return classes;
  }

  OverloadDetector overload() {
    return overload;
  }

  /** Whether its classes may go to some endpoints only. */
  boolean isRestricted() {
    return placement.allowedZones() != null || placement.allowedMachineTypes() != null;
  }

  boolean allows(Endpoint endpoint) {
    return placement.allows(endpoint);
  }
}
