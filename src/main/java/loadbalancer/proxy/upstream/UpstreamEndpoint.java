package loadbalancer.proxy.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import loadbalancer.model.EndpointState;
import loadbalancer.proxy.discovery.EndpointListUpdate.Entry;

/** An endpoint, its state and its idle connections. Confined to the event loop. */
final class UpstreamEndpoint {

  /**
   * The share of the drain grace in which a request that waited for its connection is still
   * written: the notification counts from when discovery had it, and this instance learns of it up
   * to half of the grace later.
   */
  private static final double WRITE_GRACE_SHARE = 0.5;

  /** The idle connections, the longest idle first. */
  private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();

  private final double writeGraceMillis;
  private Entry entry;
  private EndpointState state = EndpointState.READY;

  /** When the endpoint was notified that it is no longer ready; unused while it is. */
  private double notifiedAtMillis;

  /**
   * Starts ready and without connections.
   *
   * @param drainGraceMillis how long after the notification a draining endpoint accepts requests
   */
  UpstreamEndpoint(Entry entry, double drainGraceMillis) {
    this.entry = entry;
    writeGraceMillis = WRITE_GRACE_SHARE * drainGraceMillis;
  }

  /** The latest entry of the endpoint list; it stays after a removal. */
  Entry entry() {
    return entry;
  }

  boolean isReady() {
    return state == EndpointState.READY;
  }

  /** Takes in an entry that is not a removal, notified at the given time. */
  void update(Entry newEntry, double entryNotifiedAt) {
    boolean replaced = !isSameProcess(newEntry);
    entry = newEntry;
    if (replaced) {
      closeIdleConnections();
    }
    if (newEntry.endpoint().state() == EndpointState.READY) {
      state = EndpointState.READY;
    } else {
      leaveReady(newEntry.endpoint().state(), entryNotifiedAt);
    }
  }

  /** The endpoint is no longer on the list. */
  void remove(double removalNotifiedAt) {
    leaveReady(EndpointState.REMOVED, removalNotifiedAt);
  }

  private void leaveReady(EndpointState newState, double stateNotifiedAt) {
    if (isReady()) {
      notifiedAtMillis = stateNotifiedAt;
      closeIdleConnections();
    }
    state = newState;
  }

  /** Whether a connection that was opened to the given entry still leads to the same process. */
  boolean isSameProcess(Entry other) {
    return entry.endpoint().startedAtMillis() == other.endpoint().startedAtMillis()
        && entry.address().equals(other.address());
  }

  /** Whether a request may still be written: the endpoint is ready or early in its drain grace. */
  boolean acceptsRequests(double now) {
    return isReady() || now < notifiedAtMillis + writeGraceMillis;
  }

  /** Whether the endpoint was removed before the given time and has no connection left. */
  boolean isForgettable(double removedBefore) {
    return state == EndpointState.REMOVED
        && notifiedAtMillis < removedBefore
        && !hasIdleConnection();
  }

  void closeIdleConnections() {
    // Closing may call back and take the connection out of the queue.
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

  /** Removes a connection from the idle ones, if it is one of them. */
  void removeIdle(UpstreamConnection connection) {
    idleConnections.remove(connection);
  }

  /** The idle connections, that which became idle last first; the iterator can remove. */
  Iterator<UpstreamConnection> newestIdleFirst() {
    return idleConnections.descendingIterator();
  }

  /** Since when the longest idle connection has been idle; there must be one. */
  double oldestIdleSince() {
    return idleConnections.getFirst().idleSince();
  }

  /** Closes the connections that have been idle since before the given time. */
  void closeIdleSinceBefore(double time) {
    while (hasIdleConnection() && oldestIdleSince() < time) {
      closeLongestIdle();
    }
  }

  /** Closes the connection that has been idle for longest; there must be one. */
  void closeLongestIdle() {
    idleConnections.removeFirst().close();
  }
}
