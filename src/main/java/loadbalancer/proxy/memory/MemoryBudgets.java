package loadbalancer.proxy.memory;

/**
 * The budgets of one process.
 *
 * @param heads limits the heap that the heads of messages occupy
 */
public record MemoryBudgets(MemoryBudget heads) {

  /** The budgets of heads is the maximum size of the heap divided by this. */
  private static final int HEAP_PER_HEADS = 4;

  /** Creates the budgets of this process from the limits of its virtual machine. */
  public static MemoryBudgets ofProcess() {
    return new MemoryBudgets(new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_PER_HEADS));
  }
}
