package loadbalancer.proxy;

import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.EventLoopMonitor;

/**
 * Reads discovery responses that wait in the kernel ahead of other events while the event loop is
 * late. To handle those other events first could take longer than the grace period in which a
 * draining endpoint still accepts requests, and endpoints would be selected from an outdated list.
 * Used on the event loop thread only.
 */
final class PendingDiscoveryReader {

  /** The longest time for which a discovery response may stay unread while the loop is busy. */
  private static final double MAX_UNREAD_MILLIS = 10;

  private final DiscoveryClient discovery;
  private final Clock clock;
  private final EventLoopMonitor monitor;
  private double lastReadAtMillis = Double.NEGATIVE_INFINITY;

  PendingDiscoveryReader(DiscoveryClient discovery, Clock clock, EventLoopMonitor monitor) {
    this.discovery = discovery;
    this.clock = clock;
    this.monitor = monitor;
  }

  /** Reads what discovery has sent, if it may have stayed unread for too long. */
  void readIfLate() {
    double now = clock.now();
    boolean loopIsLate = monitor.longestWaitMillis() >= MAX_UNREAD_MILLIS;
    if (loopIsLate && now - lastReadAtMillis >= MAX_UNREAD_MILLIS) {
      discovery.readPending();
      lastReadAtMillis = now;
    }
  }

  /**
   * The earliest time, in milliseconds of the instance's clock, at which the discovery response
   * that is being handled may have arrived; it may have waited unread in the kernel since.
   */
  double earliestArrivalMillis() {
    return Math.max(lastReadAtMillis, clock.now() - monitor.longestWaitMillis());
  }
}
