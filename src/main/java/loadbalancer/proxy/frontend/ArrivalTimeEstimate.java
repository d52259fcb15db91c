package loadbalancer.proxy.frontend;

import java.util.function.DoubleSupplier;
import loadbalancer.proxy.eventloop.EventLoopMonitor;

/**
 * Estimates when what is read from a socket arrived there: the bytes of a client connection, or the
 * connections in the backlog of the listening socket. What one read leaves behind may wait for many
 * iterations of the event loop, and what arrives while reading is paused waits until it is resumed.
 * Times are in milliseconds of the instance's clock.
 */
final class ArrivalTimeEstimate {

  private final DoubleSupplier clock;
  private final EventLoopMonitor monitor;

  /** The latest time at which the socket is known to have had nothing to read. */
  private double emptyAtMillis;

  /** What arrives after this time is reported by the selector, unless reading is paused. */
  private double watchedSinceMillis;

  private boolean paused;
  private double lastReadAtMillis;
  private double earliestArrivalMillis;

  /**
   * Creates the estimate of a socket from which nothing has been read.
   *
   * @param emptyAtMillis a time at which there was nothing to read
   */
  ArrivalTimeEstimate(DoubleSupplier clock, EventLoopMonitor monitor, double emptyAtMillis) {
    this.clock = clock;
    this.monitor = monitor;
    this.emptyAtMillis = emptyAtMillis;
    lastReadAtMillis = clock.getAsDouble();
    watchedSinceMillis = lastReadAtMillis;
    earliestArrivalMillis = emptyAtMillis;
  }

  /**
   * Called after each read.
   *
   * @param foundEmpty whether nothing was left to read
   */
  void onRead(boolean foundEmpty) {
    double now = clock.getAsDouble();
    double unreportedUntilMillis = now - monitor.longestWaitMillis();
    if (!paused && unreportedUntilMillis > watchedSinceMillis) {
      emptyAtMillis = unreportedUntilMillis;
    }
    earliestArrivalMillis = emptyAtMillis;
    lastReadAtMillis = now;
    watchedSinceMillis = now;
    if (foundEmpty) {
      emptyAtMillis = Math.max(emptyAtMillis, now - monitor.millisSinceSelect());
    }
  }

  /** Called when the selector no longer watches the socket. */
  void onPaused() {
    paused = true;
  }

  /** Called when the selector watches the socket again. */
  void onResumed() {
    paused = false;
    watchedSinceMillis = clock.getAsDouble();
  }

  /** The time of the last read; before the first one, of the creation of this estimate. */
  double lastReadAtMillis() {
    return lastReadAtMillis;
  }

  /** The earliest time at which what the last read returned may have arrived. */
  double earliestArrivalMillis() {
    return earliestArrivalMillis;
  }
}
