package loadbalancer.proxy.upstream;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The settings of an {@link UpstreamClient} that tests may change; production uses {@link
 * #DEFAULT}.
 *
 * @param freshIdleMillis the idle time up to which a connection is fresh and may always be reused
 * @param reuseDelayMillis the least time for which a connection stays idle before it is reused
 * @param initialMedianConnectMillis the initial estimate of the median connect time; if empty, it
 *     follows from the connect timeout
 * @param sendBufferBytes the size of the kernel's send buffer of a connection; empty to let the
 *     operating system choose it
 */
public record UpstreamClientOptions(
    double freshIdleMillis,
    double reuseDelayMillis,
    OptionalDouble initialMedianConnectMillis,
    OptionalInt sendBufferBytes) {

  /**
   * An endpoint may send the same response twice, some milliseconds apart. On a connection that
   * already carries the next request, the duplicate would be taken for the response to that one. On
   * an idle connection it is a protocol violation, which closes the connection.
   */
  private static final double REUSE_DELAY_MILLIS = 20;

  /** The options that production uses. */
  public static final UpstreamClientOptions DEFAULT =
      new UpstreamClientOptions(
          IdleReuseLimit.FRESH_IDLE_MILLIS,
          REUSE_DELAY_MILLIS,
          OptionalDouble.empty(),
          OptionalInt.empty());

  /** Returns a copy with another fresh idle time. */
  public UpstreamClientOptions withFreshIdleMillis(double millis) {
    return new UpstreamClientOptions(
        millis, reuseDelayMillis, initialMedianConnectMillis, sendBufferBytes);
  }

  /** Returns a copy with another reuse delay. */
  public UpstreamClientOptions withReuseDelayMillis(double millis) {
    return new UpstreamClientOptions(
        freshIdleMillis, millis, initialMedianConnectMillis, sendBufferBytes);
  }

  /** Returns a copy with another initial estimate of the median connect time. */
  public UpstreamClientOptions withInitialMedianConnectMillis(double millis) {
    return new UpstreamClientOptions(
        freshIdleMillis, reuseDelayMillis, OptionalDouble.of(millis), sendBufferBytes);
  }

  /** Returns a copy with another send buffer size. */
  public UpstreamClientOptions withSendBufferBytes(int bytes) {
    return new UpstreamClientOptions(
        freshIdleMillis, reuseDelayMillis, initialMedianConnectMillis, OptionalInt.of(bytes));
  }
}
