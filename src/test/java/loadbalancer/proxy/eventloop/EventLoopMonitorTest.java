package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the bounds of waits and the durations of iterations that the monitor gives, with a fake
 * clock that the test advances.
 */
class EventLoopMonitorTest {

  private long nowNanos = TimeUnit.SECONDS.toNanos(7);
  private final EventLoopMonitor monitor = new EventLoopMonitor(() -> nowNanos);
  private boolean eventReady;
  private long selectMillis;
  private final IoHandler handler = monitor.wrap(executor -> new FakeHandler()).newHandler(null);

  private void advance(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /**
   * Runs one iteration of the event loop. The selector blocks for the given time, unless that is 0
   * because an event is already ready.
   */
  private void iterate(long blockingMillis, long handlingMillis) {
    iterate(blockingMillis == 0, blockingMillis, handlingMillis);
  }

  private void iterate(boolean ready, long selectorMillis, long handlingMillis) {
    eventReady = ready;
    selectMillis = selectorMillis;
    handler.run(new FakeContext());
    advance(handlingMillis);
  }

  @Test
  void waitIsBoundedByThePreviousReturnOfASelectorThatDidNotBlock() {
    iterate(10, 0);
    advance(300);
    iterate(0, 0);
    assertEquals(300, monitor.longestWaitMillis());
    advance(40);
    assertEquals(340, monitor.longestWaitMillis());
    iterate(0, 0);
    assertEquals(40, monitor.longestWaitMillis());
  }

  @Test
  void waitIsBoundedByTheLastReturnOfASelectorThatBlocked() {
    iterate(10, 300);
    iterate(0, 4);
    assertEquals(304, monitor.longestWaitMillis());
    iterate(25, 0);
    assertEquals(0, monitor.longestWaitMillis());
    advance(5);
    assertEquals(5, monitor.longestWaitMillis());
  }

  @Test
  void slowSelectorWithAReadyEventHasNotBlocked() {
    iterate(10, 300);
    iterate(true, 25, 0);
    assertEquals(325, monitor.longestWaitMillis());
  }

  @Test
  void pollingAndBlockingAreOneIteration() {
    long iterationsBefore = monitor.iterationCount();
    iterate(10, 0);
    assertEquals(iterationsBefore + 1, monitor.iterationCount());
    iterate(0, 0);
    assertEquals(iterationsBefore + 2, monitor.iterationCount());
  }

  @Test
  void longestIterationIsRecentForFourToEightSeconds() {
    iterate(10, 300);
    iterate(10, 5);
    assertEquals(300, monitor.recentLatenessMillis());
    iterate(2_500, 5);
    iterate(2_500, 5);
    iterate(0, 5);
    assertEquals(300, monitor.recentLatenessMillis());
    iterate(4_000, 7);
    iterate(0, 5);
    assertEquals(7, monitor.recentLatenessMillis());
    iterate(20_000, 3);
    iterate(0, 0);
    assertEquals(3, monitor.recentLatenessMillis());
  }

  @Test
  void reportCountsEachIterationOnceByItsDuration() {
    for (int i = 0; i < 90; i++) {
      iterate(20, 3);
    }
    for (int i = 0; i < 10; i++) {
      iterate(0, 100);
    }
    iterate(0, 0);
    EventLoopMonitor.Report report = monitor.report();
    assertEquals(new EventLoopMonitor.Report(100, 3, 127, 100), report);
    iterate(0, 0);
    assertEquals(new EventLoopMonitor.Report(1, 0, 0, 0), monitor.report());
  }

  /** Runs timers one after another on a real event loop, and returns its number of iterations. */
  private static long iterationsForTimers(int timers, long delayMicros) throws Exception {
    EventLoopMonitor loopMonitor = new EventLoopMonitor(System::nanoTime);
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, loopMonitor.wrap(NioIoHandler.newFactory()));
    try {
      EventLoop loop = group.next();
      long iterationsBefore = loop.submit(loopMonitor::iterationCount).get();
      for (int i = 0; i < timers; i++) {
        loop.schedule(() -> {}, delayMicros, TimeUnit.MICROSECONDS).sync();
      }
      return loop.submit(loopMonitor::iterationCount).get() - iterationsBefore;
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {300, 1_300})
  void eventLoopDoesNotSpinUntilATimerIsDue(long delayMicros) throws Exception {
    int timers = 200;
    long iterations = iterationsForTimers(timers, delayMicros);
    // A timer causes an iteration when it is scheduled and another when it is due, and the loop may
    // also wake up slightly before it is due.
    assertTrue(iterations <= 4L * timers, iterations + " iterations for " + timers + " timers");
  }

  /** Calls the context in the same order as Netty's handlers do. */
  private final class FakeHandler implements IoHandler {

    @Override
    public int run(IoHandlerContext context) {
      boolean eventFound = eventReady || context.canBlock();
      if (eventFound) {
        advance(selectMillis);
      }
      context.shouldReportActiveIoTime();
      return eventFound ? 1 : 0;
    }

    @Override
    public IoRegistration register(IoHandle handle) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void wakeup() {
      throw new UnsupportedOperationException();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
      return true;
    }
  }

  private static final class FakeContext implements IoHandlerContext {

    @Override
    public boolean canBlock() {
      return true;
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
      return 0;
    }

    @Override
    public long deadlineNanos() {
      return 0;
    }
  }
}
