package loadbalancer.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What the discovery client needs to know at its start.
 *
 * @param address where discovery listens
 * @param explicitWatch whether the policy asks for the watch itself; otherwise an update counts as
 *     notified from the moment discovery has it
 * @param zones the names of the zones, by the index that the policy uses
 * @param machineTypes the names of the machine types, by the index that the policy uses
 * @param seed the seed of the watch durations; each instance has its own
 * @param knownVersion the version of the endpoint list that the instance starts with
 */
public record DiscoverySettings(
    InetSocketAddress address,
    boolean explicitWatch,
    List<String> zones,
    List<String> machineTypes,
    long seed,
    long knownVersion) {}
