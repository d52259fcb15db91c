package loadbalancer.model;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
  /** The endpoint served it. */
  OK,
  /** The endpoint answered with an error. */
  ERROR,
  /** The endpoint rejected it for want of capacity; it had no effect. */
  FULL,
  /** No response within the attempt's timeout. */
  TIMEOUT,
  /** No connection came up; it had no effect. */
  CONNECT_FAILED,
  /** The connection broke before the response was complete. */
  RESET,
  /** Cancelled by this instance. */
  CANCELLED,
  /** Never left this instance; it had no effect. */
  NOT_SENT;

  /** Whether this proves that the attempt had no effect. */
  public boolean neverRan() {
    return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
  }
}
