package loadbalancer.proxy.frontend;

/**
 * The timeouts of one client connection, counted from its last activity. Times are in milliseconds
 * of the instance's clock.
 */
final class ConnectionTimeouts {

  /**
   * Longest time to receive a request: counted from the accept for the connection's first request,
   * otherwise from the request's first byte or the preceding response, whichever is later.
   */
  private static final double REQUEST_TIMEOUT_MILLIS = 2_300;

  /** Longest time from the accept to the first byte of a request. */
  private static final double FIRST_REQUEST_TIMEOUT_MILLIS = 2_300;

  /** Longest time from a response to the first byte of the next request. */
  private static final double KEEP_ALIVE_TIMEOUT_MILLIS = 3_000;

  /** Longest time for the client to receive a response; a lingering close has its own timeout. */
  private static final double WRITE_TIMEOUT_MILLIS = 10_000;

  private boolean hasResponded;
  private double lastActivityAtMillis;

  ConnectionTimeouts(double acceptedAtMillis) {
    lastActivityAtMillis = acceptedAtMillis;
  }

  /** The latest of the accept, the last response, and the first byte of the request after it. */
  double lastActivityAtMillis() {
    return lastActivityAtMillis;
  }

  /** Called when the first byte of a request arrives while no other request is in flight. */
  void onFirstByte(double now) {
    if (hasResponded) {
      lastActivityAtMillis = now;
    }
  }

  void onResponse(double now) {
    hasResponded = true;
    lastActivityAtMillis = now;
  }

  boolean isWriteOverdue(double now) {
    return now - lastActivityAtMillis > WRITE_TIMEOUT_MILLIS;
  }

  /** Whether a request that has been received in part is overdue. */
  boolean isRequestOverdue(double now) {
    return now - lastActivityAtMillis > REQUEST_TIMEOUT_MILLIS;
  }

  /** Whether the first byte of a request is overdue. */
  boolean isIdleTooLong(double now) {
    return now - lastActivityAtMillis
        > (hasResponded ? KEEP_ALIVE_TIMEOUT_MILLIS : FIRST_REQUEST_TIMEOUT_MILLIS);
  }
}
