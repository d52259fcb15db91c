package loadbalancer.proxy.logging;

import java.util.logging.Logger;

/**
 * The logger that all classes of the process share: a filter such as {@link LogRateLimiter} applies
 * to one logger only, and child loggers do not inherit it.
 */
public final class ProxyLogger {

  /** Safe for use on any thread. */
  public static final Logger LOGGER = Logger.getLogger("loadbalancer");

  private ProxyLogger() {}
}
