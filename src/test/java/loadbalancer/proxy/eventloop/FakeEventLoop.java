package loadbalancer.proxy.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.concurrent.TimeUnit;

/** An event loop with a monitor, whose iterations and clock the test controls. */
public final class FakeEventLoop {

  private static final double NANOS_PER_MILLI = 1e6;

  private long nowNanos = TimeUnit.SECONDS.toNanos(7);
  public final EventLoopMonitor monitor = new EventLoopMonitor(() -> nowNanos);
  private final IoHandler handler = monitor.wrap(executor -> new FakeHandler()).newHandler(null);
  private boolean eventReady;
  private long selectMillis;

  /** The current time in milliseconds. */
  public double now() {
    return nowNanos / NANOS_PER_MILLI;
  }

  public void advance(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /**
   * Runs one iteration of the event loop. The selector blocks for the given time, unless that is 0
   * because an event is already ready.
   */
  public void iterate(long blockingMillis, long handlingMillis) {
    iterate(blockingMillis == 0, blockingMillis, handlingMillis);
  }

  void iterate(boolean ready, long selectorMillis, long handlingMillis) {
    eventReady = ready;
    selectMillis = selectorMillis;
    handler.run(new FakeContext());
    advance(handlingMillis);
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
