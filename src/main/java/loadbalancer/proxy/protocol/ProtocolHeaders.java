package loadbalancer.proxy.protocol;

import java.math.BigDecimal;

/**
 * The HTTP header fields of the platform's protocol. Each constant is named for the meaning of the
 * field; the names on the wire occur only here. docs/GLOSSARY.md explains them.
 */
public final class ProtocolHeaders {

  /** The ID of a request, the same on all its attempts; unique among the requests in flight. */
  public static final String REQUEST_ID = "X-Txn";

  /** The name of the request class. */
  public static final String REQUEST_CLASS = "X-Lane";

  /** The name of the tenant for which the request is made. */
  public static final String TENANT = "X-Org";

  /** {@code 1} on a request that the client has sent before. */
  public static final String CLIENT_RETRY = "X-Resent";

  /** The remaining time until the request's deadline, in seconds. */
  public static final String REMAINING_TIME = "X-Remaining";

  /** The cost estimate of the request, in microseconds of CPU time on a standard core. */
  public static final String COST_ESTIMATE = "X-Estimate";

  /** {@code 1} on the response to a rejected request, which had no effect and is safe to retry. */
  public static final String REJECTED = "X-Turned-Away";

  /** The endpoint's load report, on a response. */
  public static final String LOAD_REPORT = "X-Pressure";

  /** The value of a field that is a flag, if the flag is set. */
  public static final String FLAG_SET = "1";

  /** The idempotency key; endpoints drop repeats of a request with the same key. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Labels that are forwarded unchanged and not interpreted. */
  public static final String LABELS = "X-Labels";

  /** The largest accepted body of a request or a response, in bytes. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** The number of decimal places of a time in seconds. */
  private static final int MILLISECOND_DECIMALS = 3;

  private ProtocolHeaders() {}

  /** Formats a time as seconds with three decimal places, rounded down to the millisecond. */
  public static String formatSeconds(double millis) {
    return BigDecimal.valueOf((long) millis, MILLISECOND_DECIMALS).toPlainString();
  }
}
