package loadbalancer.model;

import java.util.List;

/**
 * What an instance is told at its start.
 *
 * @param instanceIndex this instance's number among the instances of its tier, from 0
 * @param instanceCount the instances of its tier
 * @param tier the tier that it sends to; 0 is the one that clients reach
 * @param zone index of its own zone
 * @param machineTypeCount the machine types that endpoints may have
 * @param explicitWatch whether discovery notifies only those who watch it
 * @param priorityByWork whether priority weights count per unit of work and not per request
 * @param worstClassWeight the share of the result, 0 to 1, that depends on the worst served class
 * @param loadReportMode how load reports come
 * @param loadReportFields the fields of a load report, in order
 * @param requestClasses the classes of requests
 * @param tenants the tenants
 * @param limits what it may do
 * @param rules the figures of the rules
 * @param costs what side effects cost
 */
public record PolicySettings(
    int instanceIndex,
    int instanceCount,
    int tier,
    int zone,
    int machineTypeCount,
    boolean explicitWatch,
    boolean priorityByWork,
    double worstClassWeight,
    LoadReportMode loadReportMode,
    List<String> loadReportFields,
    List<RequestClass> requestClasses,
    List<Tenant> tenants,
    LimitSettings limits,
    RuleSettings rules,
    CostSettings costs) {

  /** A copy for another instance of the tier. */
  public PolicySettings withInstanceIndex(int index) {
    return copy(index, requestClasses);
  }

  /** A copy with other request classes. */
  public PolicySettings withRequestClasses(List<RequestClass> classes) {
    return copy(instanceIndex, classes);
  }

  private PolicySettings copy(int index, List<RequestClass> classes) {
    return new PolicySettings(
        index,
        instanceCount,
        tier,
        zone,
        machineTypeCount,
        explicitWatch,
        priorityByWork,
        worstClassWeight,
        loadReportMode,
        loadReportFields,
        classes,
        tenants,
        limits,
        rules,
        costs);
  }
}
