package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which events that cause further events are handled. */
class RunToCompletionQueueTest {

  private final List<String> log = new ArrayList<>();
  private final RunToCompletionQueue<Runnable> queue = new RunToCompletionQueue<>(Runnable::run);

  @Test
  void eventAddedDuringAnotherIsHandledAfterIt() {
    queue.add(
        () -> {
          assertTrue(queue.isRunning());
          queue.add(() -> log.add("second"));
          queue.add(() -> log.add("third"));
          log.add("first");
        });
    assertEquals(List.of("first", "second", "third"), log);
    assertFalse(queue.isRunning());
  }

  @Test
  void eventsBehindAFailedOneAreHandledWithTheNext() {
    assertThrows(
        IllegalStateException.class,
        () ->
            queue.add(
                () -> {
                  queue.add(() -> log.add("second"));
                  throw new IllegalStateException("first");
                }));
    assertFalse(queue.isRunning());
    assertEquals(List.of(), log);
    queue.add(() -> log.add("third"));
    assertEquals(List.of("second", "third"), log);
  }
}
