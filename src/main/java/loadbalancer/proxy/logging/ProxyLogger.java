package loadbalancer.proxy.logging;

import java.util.logging.Logger;

/**
 * The single logger of the process. All classes share it because a filter such as {@link
 * LogRateLimiter} applies to one logger only and is not inherited by child loggers.
 */
public final class ProxyLogger {

  /** Safe for use on any thread. */
  public static final Logger LOGGER = Logger.getLogger("loadbalancer");

  private ProxyLogger() {}
}
