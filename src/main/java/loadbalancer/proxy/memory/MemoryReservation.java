package loadbalancer.proxy.memory;

/**
 * The memory that one holder has reserved from a {@link MemoryBudget}. While it holds any, the
 * budget may evict it, if its holder allows that. Used on the event loop thread only.
 */
public final class MemoryReservation {

  private final MemoryBudget budget;

  /** Null if the reservation can't be evicted. */
  private final Runnable onEvict;

  private long bytes;

  /** Creates a reservation of no bytes that can't be evicted. */
  public MemoryReservation(MemoryBudget budget) {
    this(budget, null);
  }

  /**
   * Creates a reservation of no bytes that may be evicted.
   *
   * @param onEvict called when the memory is needed for others; has to call {@link #release}
   */
  public MemoryReservation(MemoryBudget budget, Runnable onEvict) {
    this.budget = budget;
    this.onEvict = onEvict;
  }

  /** Reserves more memory; returns whether there was room for it. */
  public boolean tryReserve(long moreBytes) {
    if (!budget.tryReserve(this, moreBytes)) {
      return false;
    }
    add(moreBytes);
    return true;
  }

  /** Reserves more memory that is already held, even over the budget's limit. */
  public void reserve(long moreBytes) {
    budget.reserve(moreBytes);
    add(moreBytes);
  }

  private void add(long moreBytes) {
    if (bytes == 0 && onEvict != null) {
      budget.addEvictable(this);
    }
    bytes += moreBytes;
  }

  /** Releases all memory. */
  public void release() {
    budget.release(detach());
  }

  /**
   * Hands the memory over to the caller, who has to release it to the budget; it can't be evicted
   * any more. Returns its number of bytes.
   */
  public long detach() {
    long detachedBytes = bytes;
    bytes = 0;
    budget.removeEvictable(this);
    return detachedBytes;
  }

  void evict() {
    budget.removeEvictable(this);
    onEvict.run();
  }
}
