package loadbalancer.proxy.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Tests that misbehaving peers cannot fill the log. */
class LogRateLimiterTest {

  @Test
  void excessLinesAreDroppedAndCounted() {
    double[] nowMillis = {0};
    LogRateLimiter limiter = new LogRateLimiter(() -> nowMillis[0]);
    for (int i = 0; i < 10; i++) {
      assertTrue(limiter.isLoggable(new LogRecord(Level.INFO, "a")));
    }
    for (int i = 0; i < 7; i++) {
      assertFalse(limiter.isLoggable(new LogRecord(Level.INFO, "b")));
    }
    nowMillis[0] = 5_000;
    LogRecord next = new LogRecord(Level.INFO, "c");
    assertTrue(limiter.isLoggable(next));
    assertEquals("c dropped_lines=7", next.getMessage());
  }
}
