package loadbalancer.proxy.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * Measures the lateness of an event loop. An event that becomes ready while the loop is busy is not
 * seen before the next call to the selector; this class gives an upper bound of that wait, and
 * counts iterations by their duration. To know when the selector blocks, it also controls when it
 * may block and for how long. Used on the thread of its event loop only.
 */
public final class EventLoopMonitor {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int PERCENT = 100;

  /**
   * The length of a window of recent iterations. On a shared processor, long iterations occur every
   * few seconds, so a shorter window would miss them; a longer one would count the long iterations
   * of the start-up for too long.
   */
  private static final long WINDOW_NANOS = 4_000 * NANOS_PER_MILLI;

  /**
   * Durations of iterations since the last report, in whole milliseconds.
   *
   * @param p50Millis the median, rounded up to one less than a power of two
   * @param p99Millis the 99th percentile, rounded up likewise
   * @param maxMillis the longest duration, rounded down
   */
  public record Report(long iterations, long p50Millis, long p99Millis, long maxMillis) {}

  private final LongSupplier nanoTime;

  /**
   * The number of iterations since the last report, by the number of significant bits of their
   * duration in whole milliseconds.
   */
  private final long[] countsByBitLength = new long[Long.SIZE + 1];

  /** The longest iteration since the last report. */
  private long reportMaxMillis;

  /** The duration of the longest iteration in the current window. */
  private long windowMaxNanos;

  /** The duration of the longest iteration in the window before the current one. */
  private long previousWindowMaxNanos;

  private long windowStartNanos;
  private boolean iterationStarted;
  private long iterationCount;

  /** When the selector last returned. */
  private long selectedAtNanos;

  /** When the selector last returned before the current iteration began. */
  private long previousSelectedAtNanos;

  /** Whether the selector was allowed to block in the current iteration, as no event was ready. */
  private boolean blocked;

  /**
   * Creates the monitor of one event loop.
   *
   * @param nanoTime a monotonic clock like {@link System#nanoTime()}
   */
  public EventLoopMonitor(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    selectedAtNanos = nanoTime.getAsLong();
    previousSelectedAtNanos = selectedAtNanos;
    windowStartNanos = selectedAtNanos;
  }

  /** Returns a factory whose handlers delegate to those of the given one and are monitored. */
  public IoHandlerFactory wrap(IoHandlerFactory factory) {
    return executor -> new MonitoredHandler(factory.newHandler(executor));
  }

  /** The number of iterations begun since this monitor was created. */
  public long iterationCount() {
    return iterationCount;
  }

  /**
   * An upper bound, in milliseconds, of the time since the event that is being handled became
   * ready. If the selector blocked, it returned as soon as the first event was ready. Otherwise the
   * event became ready after the previous return of the selector.
   */
  public double longestWaitMillis() {
    return millisSince(blocked ? selectedAtNanos : previousSelectedAtNanos);
  }

  /** The time in milliseconds since the selector last returned. */
  public double millisSinceSelect() {
    return millisSince(selectedAtNanos);
  }

  private double millisSince(long startNanos) {
    return (double) (nanoTime.getAsLong() - startNanos) / NANOS_PER_MILLI;
  }

  /**
   * The duration of the longest iteration of the last 4 to 8 seconds, in milliseconds. A timer that
   * is set now may fire late by this much.
   */
  public double recentLatenessMillis() {
    return (double) Math.max(windowMaxNanos, previousWindowMaxNanos) / NANOS_PER_MILLI;
  }

  /** Reports the iterations since the last report and resets the counts. */
  public Report report() {
    long iterations = 0;
    for (long count : countsByBitLength) {
      iterations += count;
    }
    Report report =
        new Report(
            iterations,
            percentileMillis(50, iterations),
            percentileMillis(99, iterations),
            reportMaxMillis);
    Arrays.fill(countsByBitLength, 0);
    reportMaxMillis = 0;
    return report;
  }

  private long percentileMillis(int percent, long iterations) {
    long cumulativeCount = 0;
    for (int bits = 0; bits < countsByBitLength.length; bits++) {
      cumulativeCount += countsByBitLength[bits];
      if (cumulativeCount * PERCENT >= iterations * percent) {
        return (1L << bits) - 1;
      }
    }
    return Long.MAX_VALUE;
  }

  /** Ends the current iteration and begins the next one; called before the selector. */
  private void beginIteration() {
    long nowNanos = nanoTime.getAsLong();
    if (iterationStarted) {
      countIteration(nowNanos - selectedAtNanos, nowNanos);
    }
    iterationStarted = true;
    iterationCount++;
    previousSelectedAtNanos = selectedAtNanos;
  }

  private void countIteration(long durationNanos, long nowNanos) {
    long durationMillis = durationNanos / NANOS_PER_MILLI;
    countsByBitLength[Long.SIZE - Long.numberOfLeadingZeros(durationMillis)]++;
    reportMaxMillis = Math.max(reportMaxMillis, durationMillis);
    if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
      previousWindowMaxNanos = nowNanos - windowStartNanos < 2 * WINDOW_NANOS ? windowMaxNanos : 0;
      windowMaxNanos = 0;
      windowStartNanos = nowNanos;
    }
    windowMaxNanos = Math.max(windowMaxNanos, durationNanos);
  }

  private void selectorReturned() {
    selectedAtNanos = nanoTime.getAsLong();
  }

  private static long roundUpToMillis(long nanos) {
    return nanos > Long.MAX_VALUE - NANOS_PER_MILLI
        ? nanos
        : (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
  }

  /** Delegates all calls, and notifies the monitor before the selector is called. */
  private final class MonitoredHandler implements IoHandler {

    private final IoHandler handler;
    private final MonitoredContext monitoredContext = new MonitoredContext();

    MonitoredHandler(IoHandler handler) {
      this.handler = handler;
    }

    @Override
    public void initialize() {
      handler.initialize();
    }

    /**
     * Handles the events that are ready without blocking, and only if there are none calls the
     * selector again and allows it to block. The duration of a single call would not show whether
     * it blocked, since any call may be slow on a shared processor.
     */
    @Override
    public int run(IoHandlerContext context) {
      monitoredContext.context = context;
      beginIteration();
      blocked = false;
      int handled = handler.run(monitoredContext);
      if (handled == 0 && context.canBlock()) {
        blocked = true;
        handled = handler.run(monitoredContext);
      }
      return handled;
    }

    @Override
    public void prepareToDestroy() {
      handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
      handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
      return handler.register(handle);
    }

    @Override
    public void wakeup() {
      handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
      return handler.isCompatible(handleType);
    }
  }

  /**
   * Delegates to the context of the event loop. Netty calls {@link #shouldReportActiveIoTime} right
   * after each return of the selector, which is how the monitor learns of it.
   */
  private final class MonitoredContext implements IoHandlerContext {

    private IoHandlerContext context;

    @Override
    public boolean canBlock() {
      return blocked && context.canBlock();
    }

    /**
     * Rounds the delay up to a whole millisecond, the unit in which Netty's selector waits. Netty
     * itself rounds to the nearest one, and after rounding down would call the selector over and
     * over until the timer is due.
     */
    @Override
    public long delayNanos(long currentTimeNanos) {
      return roundUpToMillis(context.delayNanos(currentTimeNanos));
    }

    @Override
    public long deadlineNanos() {
      return context.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long activeNanos) {
      context.reportActiveIoTime(activeNanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      selectorReturned();
      return context.shouldReportActiveIoTime();
    }
  }
}
