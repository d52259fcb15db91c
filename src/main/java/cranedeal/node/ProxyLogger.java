package cranedeal.node;

import java.util.logging.Logger;

/**
 * The logger of the whole process. All classes share it, since {@link LogLimit} is a filter, which
 * loggers do not inherit.
 */
final class ProxyLogger {

  /** The one logger; may be used on any thread. */
  static final Logger LOGGER = Logger.getLogger("loadbalancer");

  private ProxyLogger() {}
}
