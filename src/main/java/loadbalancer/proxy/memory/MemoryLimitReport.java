package loadbalancer.proxy.memory;

import java.util.Optional;

/** Reports that a memory budget was used up since the last report. */
public final class MemoryLimitReport {

  private final MemoryBudgets budgets;
  private long reportedEvictions;
  private long reportedRefusals;

  /** Creates a report that has reported nothing yet. */
  public MemoryLimitReport(MemoryBudgets budgets) {
    this.budgets = budgets;
  }

  /**
   * Returns a log line, or empty if no request or attempt was evicted or refused since the last
   * call.
   *
   * @param directBytes the direct memory that is allocated, for comparison
   */
  public Optional<String> next(long directBytes) {
    MemoryBudget heads = budgets.heads();
    MemoryBudget bodies = budgets.bodies();
    long evictions = heads.evictions() + bodies.evictions() - reportedEvictions;
    long refusals = heads.refusals() + bodies.refusals() - reportedRefusals;
    if (evictions == 0 && refusals == 0) {
      return Optional.empty();
    }
    reportedEvictions += evictions;
    reportedRefusals += refusals;
    return Optional.of(
        "memory limit reached: evicted="
            + evictions
            + " refused="
            + refusals
            + describe(" heads", heads)
            + describe(" bodies", bodies)
            + " direct_bytes="
            + directBytes);
  }

  private static String describe(String prefix, MemoryBudget budget) {
    return prefix
        + "_reserved_bytes="
        + budget.reservedBytes()
        + prefix
        + "_limit_bytes="
        + budget.limitBytes();
  }
}
