package loadbalancer.model;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
  /** The endpoint served it. */
  OK,
  /** A status other than 200, an invalid response, or one that stalled; it may have run. */
  ERROR,
  /** The endpoint rejected it for want of capacity; it had no effect. */
  REJECTED,
  /** No response within the attempt's timeout. */
  TIMEOUT,
  /**
   * The request was not completely written: no connection, one that was lost or brought an invalid
   * response before that, an unknown or draining endpoint, or no time left. It had no effect.
   */
  CONNECT_FAILED,
  /** The connection broke before the response was complete. */
  RESET,
  /** Cancelled by this instance. */
  CANCELLED,
  /**
   * Never left this instance: no descriptor, no attempt or time left, or the client disconnected.
   * It had no effect.
   */
  NOT_SENT;

  /** Whether this proves that the attempt had no effect. */
  public boolean neverRan() {
    return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
  }
}
