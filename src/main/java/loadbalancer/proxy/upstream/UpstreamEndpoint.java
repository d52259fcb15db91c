package loadbalancer.proxy.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import loadbalancer.model.EndpointState;
import loadbalancer.proxy.discovery.EndpointListUpdate.Entry;

/** An endpoint, its state and its idle connections. Used on the event loop thread only. */
final class UpstreamEndpoint {

  /**
   * The fraction of the drain grace, counted from when this instance was notified, in which a
   * request that waited for its connection is still written to a draining endpoint. The endpoint's
   * own grace starts when discovery learns that it drains; the other half is left for the delay
   * until the notification reaches this instance.
   */
  private static final double WRITE_GRACE_FRACTION = 0.5;

  /** The idle connections in the order in which they became idle. */
  private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();

  private final double writeGraceMillis;
  private Entry entry;
  private EndpointState state = EndpointState.READY;

  /** When this instance was notified that the endpoint is not ready; unused while it is ready. */
  private double notifiedAtMillis;

  /**
   * Creates a ready endpoint without connections.
   *
   * @param drainGraceMillis how long after the notification a draining endpoint accepts requests
   */
  UpstreamEndpoint(Entry entry, double drainGraceMillis) {
    this.entry = entry;
    writeGraceMillis = WRITE_GRACE_FRACTION * drainGraceMillis;
  }

  /** The endpoint's latest entry in the endpoint list; kept after the endpoint is removed. */
  Entry entry() {
    return entry;
  }

  boolean isReady() {
    return state == EndpointState.READY;
  }

  /** Applies a new entry of the endpoint list, whose state is not {@code REMOVED}. */
  void update(Entry newEntry, double entryNotifiedAtMillis) {
    boolean processReplaced = !isSameProcess(newEntry);
    entry = newEntry;
    if (processReplaced) {
      closeIdleConnections();
    }
    if (newEntry.endpoint().state() == EndpointState.READY) {
      state = EndpointState.READY;
    } else {
      leaveReady(newEntry.endpoint().state(), entryNotifiedAtMillis);
    }
  }

  /** Marks the endpoint as no longer on the endpoint list. */
  void remove(double removalNotifiedAtMillis) {
    leaveReady(EndpointState.REMOVED, removalNotifiedAtMillis);
  }

  private void leaveReady(EndpointState newState, double stateNotifiedAtMillis) {
    if (isReady()) {
      notifiedAtMillis = stateNotifiedAtMillis;
      closeIdleConnections();
    }
    state = newState;
  }

  /** Whether a connection that was opened for the given entry leads to the current process. */
  boolean isSameProcess(Entry other) {
    return entry.endpoint().startedAtMillis() == other.endpoint().startedAtMillis()
        && entry.address().equals(other.address());
  }

  /** Whether a request may still be written: the endpoint is ready or within the write grace. */
  boolean acceptsRequests(double now) {
    return isReady() || now < notifiedAtMillis + writeGraceMillis;
  }

  /** Whether the endpoint was removed before the given time and has no idle connection left. */
  boolean isDiscardable(double removedBeforeMillis) {
    return state == EndpointState.REMOVED
        && notifiedAtMillis < removedBeforeMillis
        && !hasIdleConnection();
  }

  void closeIdleConnections() {
    // Not an iteration: closing a connection may call removeIdle, which changes the queue.
    while (hasIdleConnection()) {
      closeLongestIdle();
    }
  }

  boolean hasIdleConnection() {
    return !idleConnections.isEmpty();
  }

  /** Adds a connection that has just become idle. */
  void addIdle(UpstreamConnection connection) {
    idleConnections.addLast(connection);
  }

  /** Removes a connection from the idle ones; has no effect on any other connection. */
  void removeIdle(UpstreamConnection connection) {
    idleConnections.remove(connection);
  }

  /** Iterates over the idle connections, the one that became idle last first; can remove them. */
  Iterator<UpstreamConnection> newestIdleFirst() {
    return idleConnections.descendingIterator();
  }

  /** When the connection that has been idle for longest became idle; there must be one. */
  double longestIdleSinceMillis() {
    return idleConnections.getFirst().idleSinceMillis();
  }

  /** Closes the connections that became idle before the given time. */
  void closeIdleSinceBefore(double timeMillis) {
    while (hasIdleConnection() && longestIdleSinceMillis() < timeMillis) {
      closeLongestIdle();
    }
  }

  /** Closes the connection that has been idle for longest; there must be one. */
  void closeLongestIdle() {
    idleConnections.removeFirst().close();
  }
}
