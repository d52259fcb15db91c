package loadbalancer.proxy.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * Watches how late an event loop is. An event that becomes ready while the loop is busy waits,
 * unread, until the next call to the selector; this class bounds that wait and counts iterations by
 * their duration. So that it can, it also has a say in when the loop waits and for how long. It is
 * used on the thread of its event loop only.
 */
public final class EventLoopMonitor {

  private static final long NANOS_PER_MS = 1_000_000;
  private static final int PERCENT = 100;

  /**
   * The longest iteration counts as recent for this long, and for as long again: on a processor
   * that others use too, long ones come every few seconds. What a start makes long must not count
   * for much longer.
   */
  private static final long RECENT_NANOS = 4_000 * NANOS_PER_MS;

  /**
   * Durations of iterations since the last report, in ms.
   *
   * @param p50 an upper bound of the median, one less than a power of two; likewise {@code p99}
   * @param max the longest
   */
  public record Report(long iterations, long p50, long p99, long max) {}

  private final LongSupplier nanoTime;

  /** Iterations since the last report by the number of bits of their duration in ms. */
  private final long[] counts = new long[Long.SIZE + 1];

  private long longestMillis;

  /** The longest iterations since the present window began, and in the one before, in ns. */
  private long longestInWindow;

  private long longestInWindowBefore;
  private long windowBegan;
  private boolean started;
  private long iterationCount;
  private long selectedAt;

  /** When the selector returned before the present iteration. */
  private long selectedBefore;

  /**
   * Whether nothing was ready when the present iteration began, so that it waited for its events.
   */
  private boolean blocked;

  /** {@code nanoTime} is a monotonic clock like {@link System#nanoTime()}. */
  public EventLoopMonitor(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    selectedAt = nanoTime.getAsLong();
    selectedBefore = selectedAt;
    windowBegan = selectedAt;
  }

  /** Makes handlers that work as those of {@code handlers} do and report to this monitor. */
  public IoHandlerFactory wrap(IoHandlerFactory handlers) {
    return executor -> new WatchedHandler(handlers.newHandler(executor));
  }

  /** The number of the present iteration. */
  public long iterationCount() {
    return iterationCount;
  }

  /**
   * The longest time, in ms up to now, for which an event that is handled now may have been
   * waiting. A selector that blocked returned as soon as anything was ready. Else an event that was
   * ready when it returned before would have been handled then.
   */
  public double longestWaitMillis() {
    return millisSince(blocked ? selectedAt : selectedBefore);
  }

  private double millisSince(long nanos) {
    return (double) (nanoTime.getAsLong() - nanos) / NANOS_PER_MS;
  }

  /**
   * The longest iteration of the last 4 s to 8 s, in ms: a timer that is set now may be so late.
   */
  public double recentLatenessMillis() {
    return (double) Math.max(longestInWindow, longestInWindowBefore) / NANOS_PER_MS;
  }

  /** The iterations since the last report; forgets them. */
  public Report report() {
    long total = 0;
    for (long count : counts) {
      total += count;
    }
    Report report = new Report(total, percentile(50, total), percentile(99, total), longestMillis);
    Arrays.fill(counts, 0);
    longestMillis = 0;
    return report;
  }

  private long percentile(int percent, long total) {
    long below = 0;
    for (int bits = 0; bits < counts.length; bits++) {
      below += counts[bits];
      if (below * PERCENT >= total * percent) {
        return (1L << bits) - 1;
      }
    }
    return Long.MAX_VALUE;
  }

  /** The loop is about to call the selector: the present iteration ends and the next one begins. */
  private void beginIteration() {
    long now = nanoTime.getAsLong();
    if (started) {
      count(now - selectedAt, now);
    }
    started = true;
    iterationCount++;
    selectedBefore = selectedAt;
  }

  private void count(long nanos, long now) {
    long millis = nanos / NANOS_PER_MS;
    counts[Long.SIZE - Long.numberOfLeadingZeros(millis)]++;
    longestMillis = Math.max(longestMillis, millis);
    if (now - windowBegan >= RECENT_NANOS) {
      longestInWindowBefore = now - windowBegan < 2 * RECENT_NANOS ? longestInWindow : 0;
      longestInWindow = 0;
      windowBegan = now;
    }
    longestInWindow = Math.max(longestInWindow, nanos);
  }

  /** The selector has returned. */
  private void afterSelect() {
    selectedAt = nanoTime.getAsLong();
  }

  private static long roundUpToMillis(long nanos) {
    return nanos > Long.MAX_VALUE - NANOS_PER_MS
        ? nanos
        : (nanos + NANOS_PER_MS - 1) / NANOS_PER_MS * NANOS_PER_MS;
  }

  /**
   * Passes everything on, and tells the monitor when the loop calls the selector and when that
   * returns.
   */
  private final class WatchedHandler implements IoHandler {

    private final IoHandler handler;
    private final WatchedContext watched = new WatchedContext();

    WatchedHandler(IoHandler handler) {
      this.handler = handler;
    }

    @Override
    public void initialize() {
      handler.initialize();
    }

    /**
     * Handles what is ready, and waits only if nothing is. Whether a call to the selector had to
     * wait does not show in how long it took: one that has something to return may be slow too, on
     * a processor that others use.
     */
    @Override
    public int run(IoHandlerContext context) {
      watched.context = context;
      beginIteration();
      blocked = false;
      int handled = handler.run(watched);
      if (handled == 0 && context.canBlock()) {
        blocked = true;
        handled = handler.run(watched);
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

  /** Netty asks whether to measure the time of handlers right after each return of the selector. */
  private final class WatchedContext implements IoHandlerContext {

    private IoHandlerContext context;

    @Override
    public boolean canBlock() {
      return blocked && context.canBlock();
    }

    /**
     * Netty waits for a timer in whole milliseconds, the nearest, and calls the selector over and
     * over for the rest of the time. Rounded up, the wait ends when the timer is due.
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
