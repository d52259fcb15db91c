package loadbalancer.proxy.eventloop;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Handles events one at a time, in the order in which they were added. An event that is added while
 * another one is being handled waits until the handler has returned. Not thread-safe; used on the
 * thread of its event loop only.
 *
 * @param <E> the type of the events
 */
public final class RunToCompletionQueue<E> {

  private final ArrayDeque<E> pending = new ArrayDeque<>();
  private final Consumer<E> handler;
  private boolean running;

  /** Creates an empty queue whose events are passed to {@code handler}. */
  public RunToCompletionQueue(Consumer<E> handler) {
    this.handler = handler;
  }

  /** Whether an event is being handled, so that an event added now would wait. */
  public boolean isRunning() {
    return running;
  }

  /**
   * Adds an event. Unless another event is being handled, this method handles it, and all events
   * that are added in the process, before it returns. An exception from the handler is thrown to
   * the caller; the events still in the queue are handled when the next one is added.
   */
  public void add(E event) {
    pending.add(event);
    if (running) {
      return;
    }
    running = true;
    try {
      for (E next = pending.poll(); next != null; next = pending.poll()) {
        handler.accept(next);
      }
    } finally {
      running = false;
    }
  }
}
