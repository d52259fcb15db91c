package loadbalancer.proxy.eventloop;

/**
 * Milliseconds since 1970 that never go back. The system clock is read once, when this is created;
 * the monotonic clock counts from there, so that corrections of the system clock change no timeout.
 * Safe for use on any thread.
 */
public final class Clock {

  private static final double NANOS_PER_MILLI = 1e6;

  private final long startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  /** The current time in milliseconds. */
  public double now() {
    return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }

  /** The delay from now until the given time, in nanoseconds; 0 if that time has passed. */
  public long nanosUntil(double atMillis) {
    return (long) Math.ceil(Math.max(0, atMillis - now()) * NANOS_PER_MILLI);
  }
}
