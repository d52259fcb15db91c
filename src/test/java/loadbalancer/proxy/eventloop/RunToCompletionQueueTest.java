package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which events are handled if handlers add further events or fail. */
class RunToCompletionQueueTest {

  private final List<String> handled = new ArrayList<>();
  private final RunToCompletionQueue<Runnable> queue = new RunToCompletionQueue<>(Runnable::run);

  @Test
  void eventAddedDuringAnotherIsHandledAfterIt() {
    queue.add(
        () -> {
          assertTrue(queue.isRunning());
          queue.add(() -> handled.add("second"));
          queue.add(() -> handled.add("third"));
          handled.add("first");
        });
    assertEquals(List.of("first", "second", "third"), handled);
    assertFalse(queue.isRunning());
  }

  @Test
  void eventsQueuedBehindAFailedOneAreHandledWithTheNextOne() {
    assertThrows(
        IllegalStateException.class,
        () ->
            queue.add(
                () -> {
                  queue.add(() -> handled.add("second"));
                  throw new IllegalStateException("first");
                }));
    assertFalse(queue.isRunning());
    assertEquals(List.of(), handled);
    queue.add(() -> handled.add("third"));
    assertEquals(List.of("second", "third"), handled);
  }
}
