package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.logging.Logger;
import loadbalancer.proxy.logging.LogRateLimiter;
import loadbalancer.proxy.logging.ProxyLogger;
import org.junit.jupiter.api.Test;

/** Guards against a renamed logger that escapes the rate limit: filters are not inherited. */
class ProcessLogTest {

  @Test
  void theRateLimitIsSetOnTheLoggerOfTheProcess() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      assertEquals("loadbalancer", ProxyLogger.LOGGER.getName());
      assertSame(Logger.getLogger("loadbalancer"), ProxyLogger.LOGGER);
      assertInstanceOf(LogRateLimiter.class, ProxyLogger.LOGGER.getFilter());
      fixture.assertStillServes();
    }
  }
}
