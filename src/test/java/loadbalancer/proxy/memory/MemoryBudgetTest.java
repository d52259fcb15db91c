package loadbalancer.proxy.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The limit of a budget, and whose memory is given up when it is reached. */
class MemoryBudgetTest {

  private static final long LIMIT_BYTES = 100;
  private static final long MEGABYTE = 1_024 * 1_024;

  private final MemoryBudget budget = new MemoryBudget(LIMIT_BYTES);
  private final List<String> evicted = new ArrayList<>();

  /** A holder that gives its memory up when it is evicted. */
  private final class Holder {
    final MemoryReservation reservation;

    Holder(String name) {
      reservation =
          new MemoryReservation(
              budget,
              () -> {
                evicted.add(name);
                release();
              });
    }

    void release() {
      reservation.release();
    }
  }

  @Test
  void refusesWhatExceedsTheLimitIfNothingMayBeEvicted() {
    assertTrue(budget.tryReserve(60));
    assertFalse(budget.tryReserve(41));
    assertEquals(60, budget.reservedBytes());
    assertEquals(1, budget.refusals());
    assertTrue(budget.tryReserve(40));
    budget.release(100);
    assertEquals(0, budget.reservedBytes());
  }

  @Test
  void evictsOldestReservationFirstAndNoMoreThanNeeded() {
    Holder first = new Holder("first");
    Holder second = new Holder("second");
    Holder third = new Holder("third");
    assertTrue(first.reservation.tryReserve(40));
    assertTrue(second.reservation.tryReserve(40));
    assertTrue(first.reservation.tryReserve(10));
    assertTrue(third.reservation.tryReserve(30));
    assertEquals(List.of("first"), evicted);
    assertEquals(70, budget.reservedBytes());
    assertEquals(1, budget.evictions());
  }

  @Test
  void neverEvictsTheOneThatReserves() {
    Holder only = new Holder("only");
    assertTrue(only.reservation.tryReserve(90));
    assertFalse(only.reservation.tryReserve(20));
    assertEquals(List.of(), evicted);
    assertEquals(90, budget.reservedBytes());
  }

  @Test
  void detachedMemoryIsNotEvictedAndRemainsReserved() {
    Holder holder = new Holder("holder");
    assertTrue(holder.reservation.tryReserve(90));
    assertEquals(90, holder.reservation.detach());
    assertFalse(budget.tryReserve(20));
    assertEquals(List.of(), evicted);
    budget.release(90);
    assertEquals(0, budget.reservedBytes());
  }

  /** Guards against an eviction that rejects a request in the middle of another eviction. */
  @Test
  void doesNotEvictDuringAnEviction() {
    List<Boolean> nested = new ArrayList<>();
    MemoryReservation[] oldest = new MemoryReservation[1];
    oldest[0] =
        new MemoryReservation(
            budget,
            () -> {
              nested.add(budget.tryReserve(30));
              oldest[0].release();
            });
    Holder other = new Holder("other");
    assertTrue(oldest[0].tryReserve(50));
    assertTrue(other.reservation.tryReserve(50));
    assertTrue(budget.tryReserve(30));
    assertEquals(List.of(false), nested);
    assertEquals(List.of(), evicted);
  }

  @Test
  void countsMemoryThatIsHeldAlreadyEvenOverTheLimit() {
    budget.reserve(150);
    assertEquals(150, budget.reservedBytes());
    assertFalse(budget.tryReserve(1));
  }

  /** Megabytes: direct memory, free memory, memory for all attempts, expected limit of bodies. */
  @ParameterizedTest
  @CsvSource({"60, 80, 32, 45", "60, 32, 21, 24", "60, 16, 21, 21", "8, 80, 32, 6", "60, -9, 8, 8"})
  void limitOfBodiesFollowsDirectMemoryMemoryLimitAndDescriptors(
      long directMegabytes, long freeMegabytes, long attemptMegabytes, long expectedMegabytes) {
    assertEquals(
        expectedMegabytes * MEGABYTE,
        MemoryBudgets.bodyBytes(
            directMegabytes * MEGABYTE, freeMegabytes * MEGABYTE, attemptMegabytes * MEGABYTE));
  }
}
