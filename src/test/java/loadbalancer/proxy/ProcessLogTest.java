package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.logging.Logger;
import loadbalancer.proxy.logging.LogRateLimiter;
import loadbalancer.proxy.logging.ProxyLogger;
import org.junit.jupiter.api.Test;

/**
 * The process's log lines are rate-limited. Guards against a logger of another name whose lines
 * escape the limit: a logger does not inherit the filter of its parent.
 */
class ProcessLogTest {

  @Test
  void rateLimitIsSetOnTheLoggerThatTheProcessUses() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      assertEquals("loadbalancer", ProxyLogger.LOGGER.getName());
      assertSame(Logger.getLogger("loadbalancer"), ProxyLogger.LOGGER);
      assertInstanceOf(LogRateLimiter.class, ProxyLogger.LOGGER.getFilter());
      fixture.assertStillServes();
    }
  }
}
