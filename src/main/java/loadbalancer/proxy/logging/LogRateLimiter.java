package loadbalancer.proxy.logging;

import java.util.function.DoubleSupplier;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/**
 * Limits the rate of log lines, so that misbehaving peers cannot fill the log, which the platform
 * keeps in memory. Concurrent calls may miscount by a few lines, which is harmless.
 */
public final class LogRateLimiter implements Filter {

  private static final int MAX_LINES_PER_WINDOW = 10;
  private static final double WINDOW_MILLIS = 5_000;

  private final DoubleSupplier clockMillis;
  private double windowStartMillis = Double.NEGATIVE_INFINITY;
  private int linesInWindow;
  private int droppedLines;

  /**
   * Creates a limiter.
   *
   * @param clockMillis a monotonic clock in milliseconds
   */
  public LogRateLimiter(DoubleSupplier clockMillis) {
    this.clockMillis = clockMillis;
  }

  /**
   * Whether a line is to be written. Appends the number of dropped lines to the first line after
   * the window in which they were dropped.
   */
  @Override
  public boolean isLoggable(LogRecord line) {
    double now = clockMillis.getAsDouble();
    if (now - windowStartMillis >= WINDOW_MILLIS) {
      if (droppedLines > 0) {
        line.setMessage(line.getMessage() + " dropped_lines=" + droppedLines);
      }
      windowStartMillis = now;
      linesInWindow = 0;
      droppedLines = 0;
    }
    if (linesInWindow >= MAX_LINES_PER_WINDOW) {
      droppedLines++;
      return false;
    }
    linesInWindow++;
    return true;
  }
}
