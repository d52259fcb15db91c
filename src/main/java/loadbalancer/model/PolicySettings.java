package loadbalancer.model;

import java.util.List;

/**
 * The settings with which an instance starts.
 *
 * @param instanceIndex index of this instance among the instances of its tier, from 0
 * @param instanceCount number of instances of its tier
 * @param tier the tier whose endpoints it sends to; 0 is the one that clients reach directly
 * @param zone index of its own zone
 * @param machineTypeCount number of machine types that endpoints may have
 * @param explicitWatch whether discovery notifies only instances that watch the endpoint list;
 *     otherwise it notifies all
 * @param priorityByWork whether priority weights apply per unit of work instead of per request
 * @param worstClassWeight share of the platform's score of the service, 0 to 1, that depends on the
 *     worst served class alone
 * @param loadReportMode how load reports are received
 * @param loadReportFields names of the fields of a load report, in order
 * @param requestClasses the request classes
 * @param tenants the tenants
 * @param limits limits on what it may do
 * @param rules parameters of the platform's rules
 * @param costs cost of side effects
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

  /** Returns a copy for another instance of the tier. */
  public PolicySettings withInstanceIndex(int index) {
    return copy(index, requestClasses);
  }

  /** Returns a copy with other request classes. */
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
