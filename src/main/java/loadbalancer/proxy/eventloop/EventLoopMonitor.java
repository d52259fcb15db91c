package loadbalancer.proxy.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * Measures how late an event loop is. An event that becomes ready while the loop is busy waits
 * unread until the next call to the selector; this class gives a bound of that wait and counts
 * iterations by their duration. To know when the loop blocks, it also decides when the loop may
 * block and for how long. Used on the thread of its event loop only.
 */
public final class EventLoopMonitor {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int PERCENT = 100;

  /**
   * The length of a window of recent iterations. On a shared processor long iterations come every
   * few seconds; those of the start must not count for much longer.
   */
  private static final long WINDOW_NANOS = 4_000 * NANOS_PER_MILLI;

  /**
   * Durations of iterations since the last report, in whole milliseconds.
   *
   * @param p50Millis an upper bound of the median: one less than a power of two
   * @param p99Millis likewise of the 99th percentile
   * @param maxMillis the longest duration, rounded down
   */
  public record Report(long iterations, long p50Millis, long p99Millis, long maxMillis) {}

  private final LongSupplier nanoTime;

  /** Iterations since the last report by the number of bits of their duration in milliseconds. */
  private final long[] countsByBits = new long[Long.SIZE + 1];

  /** The longest iteration since the last report. */
  private long reportMaxMillis;

  /** The longest iterations of the current and of the previous window. */
  private long windowMaxNanos;

  private long previousWindowMaxNanos;
  private long windowStartNanos;
  private boolean started;
  private long iterationCount;

  /** When the selector last returned, and when before the current iteration. */
  private long selectedAtNanos;

  private long previousSelectedAtNanos;

  /** Whether nothing was ready when the current iteration began, so that the selector blocked. */
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

  /** Makes the handlers of a factory report to this monitor; they work as before otherwise. */
  public IoHandlerFactory wrap(IoHandlerFactory handlers) {
    return executor -> new MonitoredHandler(handlers.newHandler(executor));
  }

  /** The number of iterations begun so far. */
  public long iterationCount() {
    return iterationCount;
  }

  /**
   * The longest time in milliseconds for which an event that is being handled now may have waited.
   * A selector that blocked returned with the first event; otherwise the event became ready after
   * the selector had returned the time before.
   */
  public double longestWaitMillis() {
    return millisSince(blocked ? selectedAtNanos : previousSelectedAtNanos);
  }

  private double millisSince(long startNanos) {
    return (double) (nanoTime.getAsLong() - startNanos) / NANOS_PER_MILLI;
  }

  /**
   * The longest iteration of the last 4 to 8 seconds, in milliseconds: a timer that is set now may
   * be that late.
   */
  public double recentLatenessMillis() {
    return (double) Math.max(windowMaxNanos, previousWindowMaxNanos) / NANOS_PER_MILLI;
  }

  /** Reports the iterations since the last report and resets the counts. */
  public Report report() {
    long total = 0;
    for (long count : countsByBits) {
      total += count;
    }
    Report report =
        new Report(total, percentile(50, total), percentile(99, total), reportMaxMillis);
    Arrays.fill(countsByBits, 0);
    reportMaxMillis = 0;
    return report;
  }

  private long percentile(int percent, long total) {
    long atMost = 0;
    for (int bits = 0; bits < countsByBits.length; bits++) {
      atMost += countsByBits[bits];
      if (atMost * PERCENT >= total * percent) {
        return (1L << bits) - 1;
      }
    }
    return Long.MAX_VALUE;
  }

  /** Called before the selector: the current iteration ends and the next one begins. */
  private void beginIteration() {
    long now = nanoTime.getAsLong();
    if (started) {
      countIteration(now - selectedAtNanos, now);
    }
    started = true;
    iterationCount++;
    previousSelectedAtNanos = selectedAtNanos;
  }

  private void countIteration(long nanos, long now) {
    long millis = nanos / NANOS_PER_MILLI;
    countsByBits[Long.SIZE - Long.numberOfLeadingZeros(millis)]++;
    reportMaxMillis = Math.max(reportMaxMillis, millis);
    if (now - windowStartNanos >= WINDOW_NANOS) {
      previousWindowMaxNanos = now - windowStartNanos < 2 * WINDOW_NANOS ? windowMaxNanos : 0;
      windowMaxNanos = 0;
      windowStartNanos = now;
    }
    windowMaxNanos = Math.max(windowMaxNanos, nanos);
  }

  /** Called when the selector has returned. */
  private void afterSelect() {
    selectedAtNanos = nanoTime.getAsLong();
  }

  private static long roundUpToMillis(long nanos) {
    return nanos > Long.MAX_VALUE - NANOS_PER_MILLI
        ? nanos
        : (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
  }

  /** Delegates all calls, and notifies the monitor before and after each call to the selector. */
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
     * Handles what is ready, and blocks only if nothing is. The duration of a call to the selector
     * does not show whether it blocked: on a shared processor any call may be slow.
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

  /** Netty calls {@link #shouldReportActiveIoTime} right after each return of the selector. */
  private final class MonitoredContext implements IoHandlerContext {

    private IoHandlerContext context;

    @Override
    public boolean canBlock() {
      return blocked && context.canBlock();
    }

    /**
     * Rounded up to a millisecond, the unit in which Netty's selector waits. Netty rounds to the
     * nearest one, and would spin on the selector until the timer is due.
     */
    @Override
    public long delayNanos(long now) {
      return roundUpToMillis(context.delayNanos(now));
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
      afterSelect();
      return context.shouldReportActiveIoTime();
    }
  }
}
