package loadbalancer.proxy.logging;

import java.util.logging.Logger;

/**
 * The logger of the whole process. All classes share it, since {@link LogRateLimiter} is a filter,
 * which loggers do not inherit.
 */
public final class ProxyLogger {

  /** The one logger; may be used on any thread. */
  public static final Logger LOGGER = Logger.getLogger("loadbalancer");

  private ProxyLogger() {}
}
