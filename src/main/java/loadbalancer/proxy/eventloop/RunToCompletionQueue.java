package loadbalancer.proxy.eventloop;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Handles events one at a time, in the order in which they were added. An event that is added while
 * another is being handled waits until that one has been handled to its end. Not thread-safe: it is
 * used on the thread of its event loop only.
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
   * Adds an event. Unless another one is being handled, handles it and all that are added meanwhile
   * before it returns. An exception of the handler is passed on; the events behind are handled with
   * the next one that is added.
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
