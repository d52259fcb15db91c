package loadbalancer.proxy;

import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.EventLoopMonitor;

/**
 * Reads pending discovery responses ahead of other events while the event loop is late. Those other
 * events may take longer than the grace period of a draining endpoint, and no decision may rest on
 * an outdated endpoint list. Used on the event loop thread only.
 */
final class PendingDiscoveryReader {

  /** How long a discovery response may stay unread while the event loop is busy. */
  private static final double MAX_UNREAD_MILLIS = 10;

  private final DiscoveryClient discovery;
  private final Clock clock;
  private final EventLoopMonitor monitor;
  private double lastReadMillis = Double.NEGATIVE_INFINITY;

  PendingDiscoveryReader(DiscoveryClient discovery, Clock clock, EventLoopMonitor monitor) {
    this.discovery = discovery;
    this.clock = clock;
    this.monitor = monitor;
  }

  /** Reads what discovery has sent if the event loop is late and the last read is not recent. */
  void readIfLate() {
    double now = clock.now();
    boolean late = monitor.longestWaitMillis() >= MAX_UNREAD_MILLIS;
    if (late && now - lastReadMillis >= MAX_UNREAD_MILLIS) {
      discovery.readPending();
      lastReadMillis = now;
    }
  }

  /**
   * The earliest time, in milliseconds, at which a discovery response that is being handled now may
   * have arrived: it may have been waiting unread in the kernel since then.
   */
  double earliestArrivalMillis() {
    return Math.max(lastReadMillis, clock.now() - monitor.longestWaitMillis());
  }
}
