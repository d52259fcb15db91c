package loadbalancer.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import loadbalancer.model.Endpoint;

/**
 * An update of the endpoint list.
 *
 * @param version the version of the list that this update leads to
 * @param full whether the entries are the whole list; otherwise they are those that changed
 * @param entries the endpoints, in discovery's order
 */
public record EndpointListUpdate(long version, boolean full, List<Entry> entries) {

  /**
   * An endpoint and where it listens.
   *
   * @param endpoint the endpoint as the policy knows it
   * @param address where it listens; null if it was removed and discovery gave no address
   */
  public record Entry(Endpoint endpoint, InetSocketAddress address) {}

  /** The endpoints alone, as the policy takes them. */
  public List<Endpoint> endpoints() {
    return entries.stream().map(Entry::endpoint).toList();
  }
}
