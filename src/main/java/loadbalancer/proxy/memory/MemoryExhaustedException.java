package loadbalancer.proxy.memory;

/** Thrown if a message can't be received because a {@link MemoryBudget} has no room for it. */
public final class MemoryExhaustedException extends RuntimeException {

  private static final long serialVersionUID = 1;

  /** Creates the exception without a stack trace: it says nothing of the code at fault. */
  public MemoryExhaustedException() {
    super("no memory left for the message", null, false, false);
  }
}
