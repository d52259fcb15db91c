package loadbalancer.proxy.memory;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits one kind of memory that peers make the process hold. If a reservation would exceed the
 * limit, reservations that may be evicted are evicted first, the oldest first. Used on the event
 * loop thread only.
 */
public final class MemoryBudget {

  private final long limitBytes;
  private long reservedBytes;

  /** The reservations that may be evicted, the oldest first. */
  private final Set<MemoryReservation> evictable = new LinkedHashSet<>();

  /** Whether a reservation is being evicted, which may cause further attempts to reserve. */
  private boolean evicting;

  private long evictions;
  private long refusals;

  /**
   * Creates a budget of which nothing is reserved.
   *
   * @param limitBytes how many bytes may be reserved
   */
  public MemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** The number of bytes that may be reserved. */
  public long limitBytes() {
    return limitBytes;
  }

  /** The number of bytes that are reserved now. */
  public long reservedBytes() {
    return reservedBytes;
  }

  /** How often a reservation has been evicted to make room for another one. */
  public long evictions() {
    return evictions;
  }

  /** How often a reservation has been refused. */
  public long refusals() {
    return refusals;
  }

  /**
   * Reserves memory for a holder that can't be evicted; returns whether there was room. If there
   * was, the caller has to {@link #release} it.
   */
  public boolean tryReserve(long bytes) {
    return tryReserve(null, bytes);
  }

  /** Like {@link #tryReserve(long)}, but never evicts {@code requester}, which may be null. */
  boolean tryReserve(MemoryReservation requester, long bytes) {
    boolean evicted = true;
    while (evicted && reservedBytes + bytes > limitBytes) {
      evicted = evictOldestExcept(requester);
    }
    if (reservedBytes + bytes > limitBytes) {
      refusals++;
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /**
   * Reserves memory that is already held, even over the limit; the caller has to {@link #release}
   * it.
   */
  public void reserve(long bytes) {
    reservedBytes += bytes;
  }

  /** Releases memory that was reserved. */
  public void release(long bytes) {
    reservedBytes -= bytes;
  }

  /**
   * Evicts one reservation; returns whether there was one. An attempt to reserve memory during an
   * eviction evicts nothing, so that evictions aren't nested.
   */
  private boolean evictOldestExcept(MemoryReservation requester) {
    if (evicting) {
      return false;
    }
    Iterator<MemoryReservation> oldestFirst = evictable.iterator();
    MemoryReservation oldest = oldestFirst.hasNext() ? oldestFirst.next() : null;
    if (oldest == requester && oldest != null) {
      oldest = oldestFirst.hasNext() ? oldestFirst.next() : null;
    }
    if (oldest == null) {
      return false;
    }
    evictions++;
    evicting = true;
    try {
      oldest.evict();
    } finally {
      evicting = false;
    }
    return true;
  }

  void addEvictable(MemoryReservation reservation) {
    evictable.add(reservation);
  }

  void removeEvictable(MemoryReservation reservation) {
    evictable.remove(reservation);
  }
}
