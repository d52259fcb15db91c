package loadbalancer.proxy.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.proxy.eventloop.FakeEventLoop;
import org.junit.jupiter.api.Test;

/**
 * What is read may have waited for several iterations of the event loop. A request that is dated
 * too late would be forwarded with time that its client no longer has.
 */
class ArrivalTimeEstimateTest {

  private final FakeEventLoop loop = new FakeEventLoop();
  private final ArrivalTimeEstimate estimate =
      new ArrivalTimeEstimate(loop::now, loop.monitor, loop.now());

  /** Begins an iteration in which an event was ready, and returns when the selector returned. */
  private double iterate() {
    loop.iterate(0, 0);
    return loop.now();
  }

  private void assertArrivedSince(double expectedMillis) {
    assertEquals(expectedMillis, estimate.earliestArrivalMillis());
  }

  @Test
  void whatTheSelectorReportsArrivedAfterItsPreviousReturn() {
    double previousReturn = iterate();
    loop.advance(300);
    iterate();
    estimate.onRead(true);
    assertArrivedSince(previousReturn);
  }

  /** Guards against dating later batches of the backlog by the last iteration only. */
  @Test
  void whatReadsLeaveBehindArrivedBeforeTheFirstOfThem() {
    double returnBeforeFirstRead = iterate();
    loop.advance(300);
    for (int i = 0; i < 4; i++) {
      iterate();
      estimate.onRead(false);
      estimate.onRead(false);
      assertArrivedSince(returnBeforeFirstRead);
      loop.advance(100);
    }
    final double lastReturn = iterate();
    estimate.onRead(true);
    assertArrivedSince(returnBeforeFirstRead);
    loop.advance(100);
    iterate();
    estimate.onRead(true);
    assertArrivedSince(lastReturn);
  }

  @Test
  void iterationWithoutInputShowsThatNothingWasLeftBehind() {
    iterate();
    estimate.onRead(false);
    loop.advance(100);
    double returnWithoutInput = iterate();
    loop.advance(100);
    iterate();
    estimate.onRead(false);
    assertArrivedSince(returnWithoutInput);
  }

  @Test
  void selectorThatBlockedShowsThatNothingWasLeftBehind() {
    iterate();
    estimate.onRead(false);
    loop.advance(100);
    loop.iterate(500, 0);
    estimate.onRead(false);
    assertArrivedSince(loop.now());
  }

  /** Guards against dating what waited during a pause by the iterations after it. */
  @Test
  void whatIsReadAfterAPauseMayHaveArrivedInThePause() {
    double returnBeforePause = iterate();
    estimate.onRead(true);
    estimate.onPaused();
    for (int i = 0; i < 5; i++) {
      loop.advance(400);
      iterate();
    }
    estimate.onResumed();
    loop.advance(10);
    iterate();
    estimate.onRead(false);
    assertArrivedSince(returnBeforePause);
    loop.advance(10);
    iterate();
    estimate.onRead(true);
    assertArrivedSince(returnBeforePause);
  }

  @Test
  void whatArrivesLongAfterAPauseIsNotDatedByIt() {
    iterate();
    estimate.onRead(true);
    estimate.onPaused();
    loop.advance(400);
    iterate();
    estimate.onResumed();
    loop.iterate(5_000, 0);
    estimate.onRead(true);
    assertArrivedSince(loop.now());
  }
}
