package loadbalancer.proxy.eventloop;

/**
 * A monotonic clock in milliseconds since 1970. It reads the system clock once, when it is created,
 * and adds the time elapsed since then by {@link System#nanoTime()}, so that corrections of the
 * system clock do not affect timeouts. Safe for use on any thread.
 */
public final class Clock {

  private static final double NANOS_PER_MILLI = 1e6;

  private final long startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  /** The current time in milliseconds since 1970. */
  public double now() {
    return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }

  /** The delay from now until the given time, in nanoseconds; 0 if that time has passed. */
  public long nanosUntil(double atMillis) {
    return (long) Math.ceil(Math.max(0, atMillis - now()) * NANOS_PER_MILLI);
  }
}
