package loadbalancer.proxy.upstream;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * What tests change of an {@link UpstreamClient}.
 *
 * @param freshIdleMillis up to this idle time a connection is fresh
 * @param reuseDelayMillis how long a connection stays idle at least before its next request
 * @param initialConnectMillis the first estimate of the median connect time; empty for that of the
 *     connect timeout
 * @param sendBufferBytes the kernel's send buffer of a connection; empty for the system's choice
 */
public record UpstreamClientOptions(
    double freshIdleMillis,
    double reuseDelayMillis,
    OptionalDouble initialConnectMillis,
    OptionalInt sendBufferBytes) {

  /**
   * Guards against a duplicate response that arrives some milliseconds after the first: nothing in
   * it tells that it isn't the next request's, but on an idle connection it is a violation.
   */
  private static final double REUSE_DELAY_MILLIS = 20;

  /** The options in production. */
  public static final UpstreamClientOptions DEFAULT =
      new UpstreamClientOptions(
          IdleConnectionTrust.FRESH_IDLE_MILLIS,
          REUSE_DELAY_MILLIS,
          OptionalDouble.empty(),
          OptionalInt.empty());

  /** A copy with another fresh idle time, in milliseconds. */
  public UpstreamClientOptions withFreshIdleMillis(double millis) {
    return new UpstreamClientOptions(
        millis, reuseDelayMillis, initialConnectMillis, sendBufferBytes);
  }

  /** A copy with another reuse delay, in milliseconds. */
  public UpstreamClientOptions withReuseDelayMillis(double millis) {
    return new UpstreamClientOptions(
        freshIdleMillis, millis, initialConnectMillis, sendBufferBytes);
  }

  /** A copy with another first estimate of the connect time, in milliseconds. */
  public UpstreamClientOptions withInitialConnectMillis(double millis) {
    return new UpstreamClientOptions(
        freshIdleMillis, reuseDelayMillis, OptionalDouble.of(millis), sendBufferBytes);
  }

  /** A copy with another send buffer, in bytes. */
  public UpstreamClientOptions withSendBufferBytes(int bytes) {
    return new UpstreamClientOptions(
        freshIdleMillis, reuseDelayMillis, initialConnectMillis, OptionalInt.of(bytes));
  }
}
