package loadbalancer.proxy.memory;

import io.netty.util.internal.PlatformDependent;

/**
 * The budgets of one process.
 *
 * @param heads limits the heap that the heads of messages occupy
 * @param bodies limits the direct memory that the bodies of messages occupy
 */
public record MemoryBudgets(MemoryBudget heads, MemoryBudget bodies) {

  /** The budget of heads is the maximum size of the heap divided by this. */
  private static final int HEAP_PER_HEADS = 4;

  /**
   * One in this many bytes of the direct memory is left to what bodies do not occupy: the buffers
   * into which sockets are read, endpoint lists, and unused parts of Netty's chunks.
   */
  private static final int DIRECT_MEMORY_PER_REST = 4;

  /** Creates the budgets of this process from the limits of its virtual machine. */
  public static MemoryBudgets ofProcess() {
    long directBytes = PlatformDependent.maxDirectMemory();
    return new MemoryBudgets(
        new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_PER_HEADS),
        new MemoryBudget(directBytes - directBytes / DIRECT_MEMORY_PER_REST));
  }
}
