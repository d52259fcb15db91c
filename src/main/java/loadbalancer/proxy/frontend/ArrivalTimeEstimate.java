package loadbalancer.proxy.frontend;

import loadbalancer.proxy.eventloop.EventLoopMonitor;

/**
 * Estimates when what is read from one client connection arrived, from which deadlines count. Times
 * are in milliseconds of the instance's clock.
 */
final class ArrivalTimeEstimate {

  private final RequestDispatcher dispatcher;
  private final EventLoopMonitor monitor;

  /** The earliest time at which the client may have connected; the accept may have come later. */
  private final double earliestConnectAtMillis;

  /** The number of the event loop's iteration that accepted the connection. */
  private final long acceptIteration;

  /** Creates the estimate of a connection that is being accepted. */
  ArrivalTimeEstimate(RequestDispatcher dispatcher, EventLoopMonitor monitor) {
    this.dispatcher = dispatcher;
    this.monitor = monitor;
    earliestConnectAtMillis = earliestArrivalOfPendingEvents();
    acceptIteration = monitor.iterationCount();
  }

  /**
   * The earliest time at which the bytes that are read now may have arrived; a request's deadline
   * counts from then. Bytes read in the iteration of the accept, or in the next, may have arrived
   * as early as the connection, which may have waited to be accepted.
   */
  double earliestArrivalOfReadBytes() {
    boolean justAccepted = monitor.iterationCount() - acceptIteration <= 1;
    return justAccepted ? earliestConnectAtMillis : earliestArrivalOfPendingEvents();
  }

  private double earliestArrivalOfPendingEvents() {
    return dispatcher.now() - monitor.longestWaitMillis();
  }
}
