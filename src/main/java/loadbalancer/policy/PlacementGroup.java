package loadbalancer.policy;

import java.util.Arrays;
import java.util.Objects;
import loadbalancer.model.Endpoint;
import loadbalancer.model.RequestClass;

/**
 * The request classes with the same placement: they may be sent to the same endpoints and therefore
 * share one overload level.
 */
final class PlacementGroup {

  /** One class of the group; only its placement is used. */
  private final RequestClass representative;

  private final RequestClassStatistics[] classes;
  private final OverloadDetector overload;

  private PlacementGroup(RequestClass representative, RequestClassStatistics[] allClasses) {
    this.representative = representative;
    this.classes =
        Arrays.stream(allClasses)
            .filter(other -> samePlacement(representative, other.requestClass()))
            .toArray(RequestClassStatistics[]::new);
    this.overload = new OverloadDetector(representative);
  }

  /**
   * Creates a group for each distinct placement and assigns each class to its group. The groups are
   * in the order of their first classes.
   */
  static PlacementGroup[] group(RequestClassStatistics[] allClasses) {
    PlacementGroup[] groups =
        Arrays.stream(allClasses)
            .filter(candidate -> firstWithSamePlacement(candidate, allClasses) == candidate)
            .map(first -> new PlacementGroup(first.requestClass(), allClasses))
            .toArray(PlacementGroup[]::new);
    for (PlacementGroup group : groups) {
      for (RequestClassStatistics member : group.classes) {
        member.setPlacementGroup(group);
      }
    }
    return groups;
  }

  private static RequestClassStatistics firstWithSamePlacement(
      RequestClassStatistics classStatistics, RequestClassStatistics[] allClasses) {
    return Arrays.stream(allClasses)
        .filter(other -> samePlacement(classStatistics.requestClass(), other.requestClass()))
        .findFirst()
        .orElse(classStatistics);
  }

  private static boolean samePlacement(RequestClass first, RequestClass second) {
    return Objects.equals(first.allowedZones(), second.allowedZones())
        && Objects.equals(first.allowedMachineTypes(), second.allowedMachineTypes());
  }

  RequestClassStatistics[] classes() {
    return classes;
  }

  OverloadDetector overload() {
    return overload;
  }

  /** Whether the placement excludes any zone or machine type. */
  boolean isRestricted() {
    return representative.allowedZones() != null || representative.allowedMachineTypes() != null;
  }

  boolean allows(Endpoint endpoint) {
    return representative.allows(endpoint);
  }
}
