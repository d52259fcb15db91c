package loadbalancer.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of a {@link DiscoveryClient}.
 *
 * @param address the address of discovery; a configuration reload may change it later
 * @param explicitWatch whether the policy starts the watch itself. Otherwise the proxy starts it
 *     and discovery is a local agent. By the platform's rules, an update then counts as notified
 *     from the moment the agent has it, whether or not a watch is open. One that a silent watch
 *     missed counts as notified at the latest 6 s after the watch fell silent
 * @param zones the names of the zones, at the index that the policy uses for each
 * @param machineTypes the names of the machine types, at the index that the policy uses for each
 * @param seed the seed of the random wait times of watches; differs between instances
 * @param knownVersion the version of the endpoint list in the instance's configuration
 */
public record DiscoverySettings(
    InetSocketAddress address,
    boolean explicitWatch,
    List<String> zones,
    List<String> machineTypes,
    long seed,
    long knownVersion) {}
