package loadbalancer.model;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
  /** The endpoint served the request. */
  OK,
  /** A status other than 200, or an invalid or stalled response. The request may have run. */
  ERROR,
  /** The endpoint rejected the request for lack of capacity. The request had no effect. */
  REJECTED,
  /** No response within the attempt's timeout. The request may have run. */
  TIMEOUT,
  /**
   * The request was not completely written: there was no connection, the connection was lost or
   * received an invalid response before that, the endpoint was unknown or draining, or no time was
   * left. The request had no effect.
   */
  CONNECT_FAILED,
  /** The connection was lost before the response was complete. The request may have run. */
  RESET,
  /** Cancelled by this instance. The request may have run. */
  CANCELLED,
  /**
   * The request never left this instance: no file descriptor, memory, attempt or time was left, or
   * the client had disconnected. The request had no effect.
   */
  NOT_SENT;

  /** Whether this outcome proves that the request had no effect. */
  public boolean neverRan() {
    return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
  }
}
