package loadbalancer.proxy.eventloop;

/**
 * Closes client connections whose descriptors are needed for other connections. A connection is
 * inactive since the latest of its accept, its last response, and the last byte received; those
 * that have been inactive for the longest time are closed first. Times are in milliseconds of the
 * instance's clock.
 */
public interface ClientEvictor {

  /** Which connection was closed. */
  enum Eviction {
    NONE,
    IDLE,
    /** A request had been received in part; it was rejected. */
    PARTIAL_REQUEST
  }

  /** Closes one idle connection that has been inactive since before the given time. */
  Eviction evictIdle(double inactiveSinceMillis);

  /**
   * Closes one connection that has been inactive since before the given time: it is idle, or a
   * request has been received in part.
   */
  Eviction evictInactive(double inactiveSinceMillis);
}
