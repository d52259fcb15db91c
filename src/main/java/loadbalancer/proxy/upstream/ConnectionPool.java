package loadbalancer.proxy.upstream;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import loadbalancer.model.EndpointState;
import loadbalancer.model.PolicySettings;
import loadbalancer.proxy.discovery.EndpointListUpdate;
import loadbalancer.proxy.discovery.EndpointListUpdate.Entry;
import loadbalancer.proxy.eventloop.Clock;

/** The endpoints and their idle connections. Confined to the event loop. */
final class ConnectionPool {

  /** The share of the endpoints' idle timeout after which a connection is closed from this side. */
  private static final double IDLE_TIMEOUT_SHARE = 0.7;

  /** A removed endpoint is remembered for so many times the drain grace. */
  private static final double REMOVED_MEMORY_PER_DRAIN_GRACE = 2;

  private final Clock clock;
  private final double maxIdleMillis;
  private final double drainGraceMillis;
  private final Map<Long, UpstreamEndpoint> endpoints = new HashMap<>();
  private IdleConnectionTrust trust;
  private double reuseDelayMillis;

  ConnectionPool(Clock clock, PolicySettings settings, UpstreamClientOptions options) {
    this.clock = clock;
    maxIdleMillis = IDLE_TIMEOUT_SHARE * settings.limits().idleTimeoutMillis();
    drainGraceMillis = settings.rules().drainGraceMillis();
    useOptions(options);
  }

  /** Replaces the options, and forgets past resets. */
  void useOptions(UpstreamClientOptions options) {
    trust = new IdleConnectionTrust(maxIdleMillis, options.freshIdleMillis());
    reuseDelayMillis = options.reuseDelayMillis();
  }

  /** What resets and responses on reused connections are recorded with. */
  IdleConnectionTrust trust() {
    return trust;
  }

  /** Takes in a list; see {@link UpstreamClient#updateEndpoints}. */
  void updateEndpoints(EndpointListUpdate update, double notifiedAt) {
    Map<Long, UpstreamEndpoint> unlisted = new HashMap<>(update.full() ? endpoints : Map.of());
    for (Entry entry : update.entries()) {
      long id = entry.endpoint().id();
      unlisted.remove(id);
      if (entry.endpoint().state() != EndpointState.REMOVED) {
        endpoints
            .computeIfAbsent(id, key -> new UpstreamEndpoint(entry, drainGraceMillis))
            .update(entry, notifiedAt);
      } else if (endpoints.containsKey(id)) {
        endpoints.get(id).remove(notifiedAt);
      }
    }
    unlisted.values().forEach(endpoint -> endpoint.remove(notifiedAt));
  }

  Optional<UpstreamEndpoint> find(long endpointId) {
    return Optional.ofNullable(endpoints.get(endpointId));
  }

  /**
   * Takes the most recently used connection that may be reused out of the pool, if there is one.
   */
  Optional<UpstreamConnection> acquire(UpstreamEndpoint endpoint, boolean retryable) {
    double now = clock.now();
    Iterator<UpstreamConnection> newestFirst = endpoint.newestIdleFirst();
    while (newestFirst.hasNext()) {
      UpstreamConnection connection = newestFirst.next();
      double idleMillis = now - connection.idleSince();
      if (idleMillis < reuseDelayMillis) {
        continue;
      }
      if (!trust.trusts(idleMillis, retryable)) {
        // The others have been idle for longer. A new connection replaces one of them, so that
        // idle connections don't accumulate.
        endpoint.closeLongestIdle();
        return Optional.empty();
      }
      newestFirst.remove();
      return connection.isActiveAfterRead()
          ? Optional.of(connection)
          : acquire(endpoint, retryable);
    }
    return Optional.empty();
  }

  /**
   * Keeps a connection for the next request, or closes it if the endpoint is not ready or was
   * replaced.
   */
  void release(UpstreamConnection connection, UpstreamEndpoint endpoint) {
    connection.detach(endpoint);
    if (endpoint.isReady() && endpoint.isSameProcess(connection.entry())) {
      connection.markIdle(clock.now());
      endpoint.addIdle(connection);
    } else {
      connection.close();
    }
  }

  /**
   * To be called once a second with the present time: closes what has been idle for too long and
   * forgets endpoints that were removed long ago.
   */
  void sweep(double now) {
    for (UpstreamEndpoint endpoint : endpoints.values()) {
      endpoint.closeIdleSinceBefore(now - maxIdleMillis);
    }
    double removedBefore = now - REMOVED_MEMORY_PER_DRAIN_GRACE * drainGraceMillis;
    endpoints.values().removeIf(endpoint -> endpoint.isForgettable(removedBefore));
  }

  /** Closes the connection that has been idle for longest; false if there is none. */
  boolean evictLongestIdle() {
    UpstreamEndpoint longestIdle = null;
    for (UpstreamEndpoint endpoint : endpoints.values()) {
      if (endpoint.hasIdleConnection()
          && (longestIdle == null || endpoint.oldestIdleSince() < longestIdle.oldestIdleSince())) {
        longestIdle = endpoint;
      }
    }
    if (longestIdle == null) {
      return false;
    }
    longestIdle.closeLongestIdle();
    return true;
  }

  /** How many endpoints are remembered. */
  int endpointCount() {
    return endpoints.size();
  }
}
