package loadbalancer.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.model.Endpoint;

/**
 * A full endpoint list or an incremental update of one.
 *
 * @param version the version of the list after this update
 * @param full whether the entries are the full list; otherwise only those that changed
 * @param entries the endpoints, in discovery's order
 */
public record EndpointListUpdate(long version, boolean full, List<Entry> entries) {

  /**
   * An endpoint and its address.
   *
   * @param endpoint the endpoint in the policy's model
   * @param address the address on which it listens; null if the endpoint was removed and discovery
   *     sent no address
   */
  public record Entry(Endpoint endpoint, InetSocketAddress address) {}

  /** The endpoints without their addresses, as they are passed to the policy. */
  public List<Endpoint> endpoints() {
    return entries.stream().map(Entry::endpoint).toList();
  }
}
