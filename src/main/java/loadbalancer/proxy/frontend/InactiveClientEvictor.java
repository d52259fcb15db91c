package loadbalancer.proxy.frontend;

import java.util.Set;
import loadbalancer.proxy.eventloop.ClientEvictor;

/** Closes those of the frontend's connections that have been inactive for the longest time. */
final class InactiveClientEvictor implements ClientEvictor {

  /** The frontend's own set, to which connections are added and from which they are removed. */
  private final Set<ClientConnection> connections;

  InactiveClientEvictor(Set<ClientConnection> connections) {
    this.connections = connections;
  }

  @Override
  public Eviction evictIdle(double inactiveSinceMillis) {
    return evict(inactiveSinceMillis, false);
  }

  @Override
  public Eviction evictInactive(double inactiveSinceMillis) {
    return evict(inactiveSinceMillis, true);
  }

  private Eviction evict(double inactiveSinceMillis, boolean partialRequests) {
    ClientConnection candidate = longestInactive(inactiveSinceMillis, partialRequests);
    while (candidate != null) {
      Eviction eviction = candidate.evict();
      if (eviction != Eviction.NONE) {
        return eviction;
      }
      // What the kernel held for the candidate has made it active.
      candidate = longestInactive(inactiveSinceMillis, partialRequests);
    }
    return Eviction.NONE;
  }

  private ClientConnection longestInactive(double inactiveSinceMillis, boolean partialRequests) {
    ClientConnection longest = null;
    double longestSinceMillis = inactiveSinceMillis;
    for (ClientConnection connection : connections) {
      if (connection.lastActivityAtMillis() < longestSinceMillis
          && connection.isEvictable(partialRequests)) {
        longest = connection;
        longestSinceMillis = connection.lastActivityAtMillis();
      }
    }
    return longest;
  }
}
