package loadbalancer.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of a {@link DiscoveryClient}.
 *
 * @param address the address of discovery; a configuration reload may change it later
 * @param explicitWatch whether the policy starts the watch itself. Otherwise the proxy starts it,
 *     and by the platform's rules this instance counts as notified of an update at the latest 6 s
 *     after discovery had it, even if the update has not arrived
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
