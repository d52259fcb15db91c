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

/** The known endpoints and the idle connections to each. Used on the event loop thread only. */
final class ConnectionPool {

  /**
   * The fraction of the endpoints' idle timeout after which this instance closes an idle
   * connection, so that the endpoint doesn't close it while a request is on its way.
   */
  private static final double MAX_IDLE_TIMEOUT_FRACTION = 0.7;

  /** How long a removed endpoint stays in the pool, as a multiple of the drain grace. */
  private static final double REMOVED_RETENTION_DRAIN_GRACES = 2;

  private final Clock clock;
  private final double maxIdleMillis;
  private final double drainGraceMillis;
  private final Map<Long, UpstreamEndpoint> endpoints = new HashMap<>();
  private IdleReuseLimit reuseLimit;
  private double reuseDelayMillis;

  ConnectionPool(Clock clock, PolicySettings settings, UpstreamClientOptions options) {
    this.clock = clock;
    maxIdleMillis = MAX_IDLE_TIMEOUT_FRACTION * settings.limits().idleTimeoutMillis();
    drainGraceMillis = settings.rules().drainGraceMillis();
    useOptions(options);
  }

  /** Replaces the options and discards the recorded resets. */
  void useOptions(UpstreamClientOptions options) {
    reuseLimit = new IdleReuseLimit(maxIdleMillis, options.freshIdleMillis());
    reuseDelayMillis = options.reuseDelayMillis();
  }

  /** The limit on the idle time of reused connections, which learns from resets and responses. */
  IdleReuseLimit reuseLimit() {
    return reuseLimit;
  }

  /** Applies an update of the endpoint list; see {@link UpstreamClient#updateEndpoints}. */
  void updateEndpoints(EndpointListUpdate update, double notifiedAtMillis) {
    Map<Long, UpstreamEndpoint> unlistedEndpoints =
        new HashMap<>(update.full() ? endpoints : Map.of());
    for (Entry entry : update.entries()) {
      long id = entry.endpoint().id();
      unlistedEndpoints.remove(id);
      if (entry.endpoint().state() != EndpointState.REMOVED) {
        endpoints
            .computeIfAbsent(id, key -> new UpstreamEndpoint(entry, drainGraceMillis))
            .update(entry, notifiedAtMillis);
      } else if (endpoints.containsKey(id)) {
        endpoints.get(id).remove(notifiedAtMillis);
      }
    }
    unlistedEndpoints.values().forEach(endpoint -> endpoint.remove(notifiedAtMillis));
  }

  Optional<UpstreamEndpoint> find(long endpointId) {
    return Optional.ofNullable(endpoints.get(endpointId));
  }

  /**
   * Takes a connection to an endpoint out of the pool: the one that became idle last, of those
   * whose reuse delay has passed. Empty if there is none or it has been idle for too long.
   *
   * @param retryable whether the policy may retry the request that the connection is for
   */
  Optional<UpstreamConnection> acquire(UpstreamEndpoint endpoint, boolean retryable) {
    double now = clock.now();
    Iterator<UpstreamConnection> newestFirst = endpoint.newestIdleFirst();
    while (newestFirst.hasNext()) {
      UpstreamConnection connection = newestFirst.next();
      double idleMillis = now - connection.idleSinceMillis();
      if (idleMillis < reuseDelayMillis) {
        continue;
      }
      if (!reuseLimit.allowsReuse(idleMillis, retryable)) {
        // The remaining connections have been idle for even longer. One of them is closed, since
        // the caller opens a new connection and idle ones would otherwise accumulate.
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
   * Returns a connection to the pool. It is closed instead if the endpoint is not ready, or if
   * another process has taken the endpoint's place since the connection was opened.
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
   * Closes the connections that have been idle for too long and discards the endpoints whose
   * retention after removal has ended. To be called once a second with the current time.
   */
  void sweep(double now) {
    for (UpstreamEndpoint endpoint : endpoints.values()) {
      endpoint.closeIdleSinceBefore(now - maxIdleMillis);
    }
    double removedBeforeMillis = now - REMOVED_RETENTION_DRAIN_GRACES * drainGraceMillis;
    endpoints.values().removeIf(endpoint -> endpoint.isDiscardable(removedBeforeMillis));
  }

  /** Closes the connection that has been idle for longest; returns false if none is idle. */
  boolean evictLongestIdle() {
    UpstreamEndpoint longestIdle = null;
    for (UpstreamEndpoint endpoint : endpoints.values()) {
      if (endpoint.hasIdleConnection()
          && (longestIdle == null
              || endpoint.longestIdleSinceMillis() < longestIdle.longestIdleSinceMillis())) {
        longestIdle = endpoint;
      }
    }
    if (longestIdle == null) {
      return false;
    }
    longestIdle.closeLongestIdle();
    return true;
  }

  /** The number of known endpoints, with the removed ones that are not yet discarded. */
  int endpointCount() {
    return endpoints.size();
  }
}
