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

  /** What the virtual machine occupies besides the heap and the direct memory. */
  private static final long VIRTUAL_MACHINE_BYTES = 48 * 1024 * 1024;

  /**
   * One in this many bytes of the direct memory is left to what bodies do not occupy: the buffers
   * into which sockets are read, endpoint lists, and unused parts of Netty's chunks.
   */
  private static final int DIRECT_MEMORY_PER_REST = 4;

  /** An attempt needs a connection from its client and one to its endpoint. */
  private static final int DESCRIPTORS_PER_ATTEMPT = 2;

  /**
   * Creates the budgets of this process.
   *
   * @param memoryLimitBytes how much memory the process may hold
   * @param maxDescriptors how many file descriptors it may hold
   * @param maxResponseBytes the memory that is reserved for the response to an attempt
   */
  public static MemoryBudgets ofProcess(
      long memoryLimitBytes, int maxDescriptors, int maxResponseBytes) {
    long heapBytes = Runtime.getRuntime().maxMemory();
    long bodyBytes =
        bodyBytes(
            PlatformDependent.maxDirectMemory(),
            memoryLimitBytes - heapBytes - VIRTUAL_MACHINE_BYTES,
            (long) maxDescriptors / DESCRIPTORS_PER_ATTEMPT * maxResponseBytes);
    return new MemoryBudgets(
        new MemoryBudget(heapBytes / HEAP_PER_HEADS), new MemoryBudget(bodyBytes));
  }

  /**
   * The limit of the bodies. It leaves room for as many attempts as there are descriptors for, even
   * if the process could then exceed its memory limit.
   *
   * @param maxDirectBytes the maximum direct memory of the virtual machine
   * @param freeBytes what the heap and the virtual machine leave of the memory limit at most
   * @param attemptBytes the memory for as many attempts as there are descriptors for
   */
  static long bodyBytes(long maxDirectBytes, long freeBytes, long attemptBytes) {
    long upperBytes = withoutRest(maxDirectBytes);
    long allowedBytes = withoutRest(Math.min(maxDirectBytes, freeBytes));
    return Math.min(upperBytes, Math.max(allowedBytes, attemptBytes));
  }

  private static long withoutRest(long directBytes) {
    return directBytes - directBytes / DIRECT_MEMORY_PER_REST;
  }
}
