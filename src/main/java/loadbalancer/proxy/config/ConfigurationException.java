package loadbalancer.proxy.config;

/**
 * Thrown if the proxy cannot run with its configuration. The message is meant for the operator; it
 * names the file, if there is one, and what is wrong with it.
 */
public final class ConfigurationException extends Exception {

  private static final long serialVersionUID = 1;

  /** Creates an exception without a cause. */
  public ConfigurationException(String message) {
    super(message);
  }

  /** Creates an exception that was caused by another one. */
  public ConfigurationException(String message, Throwable cause) {
    super(message, cause);
  }
}
