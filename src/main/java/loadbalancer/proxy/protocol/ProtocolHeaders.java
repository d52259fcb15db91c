package loadbalancer.proxy.protocol;

import java.math.BigDecimal;

/**
 * The header fields of the platform's protocol, named by the concept that each carries. This is the
 * only place with their names on the wire; docs/GLOSSARY.md explains them.
 */
public final class ProtocolHeaders {

  /** Identifies a request over all its attempts; unique among those in flight. */
  public static final String REQUEST_ID = "X-Txn";

  /** The name of the request's class. */
  public static final String REQUEST_CLASS = "X-Lane";

  /** The name of the tenant on whose behalf the request is made. */
  public static final String TENANT = "X-Org";

  /** {@code 1} on a request that its client has sent before. */
  public static final String CLIENT_RETRY = "X-Resent";

  /** The seconds that are left until the request's deadline. */
  public static final String REMAINING_TIME = "X-Remaining";

  /** The expected work of the request in microseconds of a standard core. */
  public static final String COST_ESTIMATE = "X-Estimate";

  /** {@code 1} on a response to a rejected request: it had no effect and is safe to retry. */
  public static final String REJECTED = "X-Turned-Away";

  /** The endpoint's load report on a response. */
  public static final String LOAD_REPORT = "X-Pressure";

  /** The value of the fields that are flags, where the flag is set. */
  public static final String FLAG_SET = "1";

  /** Identifies requests whose repeats are to be dropped. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Opaque labels that are forwarded as they are. */
  public static final String LABELS = "X-Labels";

  /** The largest body of a request or a response, in bytes. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  private static final int MILLISECOND_DECIMALS = 3;

  private ProtocolHeaders() {}

  /** Formats whole milliseconds, rounded down, as a decimal number of seconds. */
  public static String formatSeconds(double millis) {
    return BigDecimal.valueOf((long) millis, MILLISECOND_DECIMALS).toPlainString();
  }
}
