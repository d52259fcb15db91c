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

/** Bounds of waits and durations of iterations, on a clock that the test advances. */
class EventLoopMonitorTest {

  private long now = TimeUnit.SECONDS.toNanos(7);
  private final EventLoopMonitor monitor = new EventLoopMonitor(() -> now);
  private boolean ready;
  private long selectMillis;
  private final IoHandler handler = monitor.wrap(executor -> new FakeHandler()).newHandler(null);

  private void advance(long millis) {
    now += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Blocks for {@code select} ms unless that is 0, then handles events for {@code work} ms. */
  private void iterate(long select, long work) {
    iterate(select == 0, select, work);
  }

  private void iterate(boolean someReady, long select, long work) {
    ready = someReady;
    selectMillis = select;
    handler.run(new Context());
    advance(work);
  }

  @Test
  void waitIsBoundedByThePreviousReturnOfTheSelector() {
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
    long before = monitor.iterationCount();
    iterate(10, 0);
    assertEquals(before + 1, monitor.iterationCount());
    iterate(0, 0);
    assertEquals(before + 2, monitor.iterationCount());
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

  /** The number of iterations for successive timers with the given delay. */
  private static long iterationsForTimers(int timers, long micros) throws Exception {
    EventLoopMonitor watching = new EventLoopMonitor(System::nanoTime);
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, watching.wrap(NioIoHandler.newFactory()));
    try {
      EventLoop loop = group.next();
      long before = loop.submit(watching::iterationCount).get();
      for (int i = 0; i < timers; i++) {
        loop.schedule(() -> {}, micros, TimeUnit.MICROSECONDS).sync();
      }
      return loop.submit(watching::iterationCount).get() - before;
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {300, 1_300})
  void eventLoopDoesNotSpinUntilATimerIsDue(long micros) throws Exception {
    int timers = 200;
    long iterations = iterationsForTimers(timers, micros);
    // A timer wakes the loop when it is set and when it is due, and may be found due too early.
    assertTrue(iterations <= 4L * timers, iterations + " iterations for " + timers + " timers");
  }

  /** Calls its context in the order in which Netty's handlers do. */
  private final class FakeHandler implements IoHandler {

    @Override
    public int run(IoHandlerContext context) {
      boolean returns = ready || context.canBlock();
      if (returns) {
        advance(selectMillis);
      }
      context.shouldReportActiveIoTime();
      return returns ? 1 : 0;
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

  private static final class Context implements IoHandlerContext {

    @Override
    public boolean canBlock() {
      return true;
    }

    @Override
    public long delayNanos(long now) {
      return 0;
    }

    @Override
    public long deadlineNanos() {
      return 0;
    }
  }
}
