package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the bounds of waits and the durations of iterations that the monitor gives. */
class EventLoopMonitorTest {

  private final FakeEventLoop loop = new FakeEventLoop();
  private final EventLoopMonitor monitor = loop.monitor;

  @Test
  void waitIsBoundedByThePreviousReturnOfASelectorThatDidNotBlock() {
    loop.iterate(10, 0);
    loop.advance(300);
    loop.iterate(0, 0);
    assertEquals(300, monitor.longestWaitMillis());
    loop.advance(40);
    assertEquals(340, monitor.longestWaitMillis());
    loop.iterate(0, 0);
    assertEquals(40, monitor.longestWaitMillis());
  }

  @Test
  void waitIsBoundedByTheLastReturnOfASelectorThatBlocked() {
    loop.iterate(10, 300);
    loop.iterate(0, 4);
    assertEquals(304, monitor.longestWaitMillis());
    loop.iterate(25, 0);
    assertEquals(0, monitor.longestWaitMillis());
    loop.advance(5);
    assertEquals(5, monitor.longestWaitMillis());
  }

  @Test
  void slowSelectorWithAReadyEventHasNotBlocked() {
    loop.iterate(10, 300);
    loop.iterate(true, 25, 0);
    assertEquals(325, monitor.longestWaitMillis());
  }

  @Test
  void pollingAndBlockingAreOneIteration() {
    long iterationsBefore = monitor.iterationCount();
    loop.iterate(10, 0);
    assertEquals(iterationsBefore + 1, monitor.iterationCount());
    loop.iterate(0, 0);
    assertEquals(iterationsBefore + 2, monitor.iterationCount());
  }

  @Test
  void longestIterationIsRecentForFourToEightSeconds() {
    loop.iterate(10, 300);
    loop.iterate(10, 5);
    assertEquals(300, monitor.recentLatenessMillis());
    loop.iterate(2_500, 5);
    loop.iterate(2_500, 5);
    loop.iterate(0, 5);
    assertEquals(300, monitor.recentLatenessMillis());
    loop.iterate(4_000, 7);
    loop.iterate(0, 5);
    assertEquals(7, monitor.recentLatenessMillis());
    loop.iterate(20_000, 3);
    loop.iterate(0, 0);
    assertEquals(3, monitor.recentLatenessMillis());
  }

  @Test
  void reportCountsEachIterationOnceByItsDuration() {
    for (int i = 0; i < 90; i++) {
      loop.iterate(20, 3);
    }
    for (int i = 0; i < 10; i++) {
      loop.iterate(0, 100);
    }
    loop.iterate(0, 0);
    EventLoopMonitor.Report report = monitor.report();
    assertEquals(new EventLoopMonitor.Report(100, 3, 127, 100), report);
    loop.iterate(0, 0);
    assertEquals(new EventLoopMonitor.Report(1, 0, 0, 0), monitor.report());
  }

  /** Runs timers one after another on a real event loop, and returns its number of iterations. */
  private static long iterationsForTimers(int timers, long delayMicros) throws Exception {
    EventLoopMonitor loopMonitor = new EventLoopMonitor(System::nanoTime);
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, loopMonitor.wrap(NioIoHandler.newFactory()));
    try {
      EventLoop nettyLoop = group.next();
      long iterationsBefore = nettyLoop.submit(loopMonitor::iterationCount).get();
      for (int i = 0; i < timers; i++) {
        nettyLoop.schedule(() -> {}, delayMicros, TimeUnit.MICROSECONDS).sync();
      }
      return nettyLoop.submit(loopMonitor::iterationCount).get() - iterationsBefore;
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
}
