package loadbalancer.proxy.config;

/**
 * The proxy cannot run on its configuration. The message is for the operator and names the file and
 * the faulty part of it.
 */
public final class ConfigurationException extends Exception {

  private static final long serialVersionUID = 1;

  /** Reports what is wrong and where. */
  public ConfigurationException(String message) {
    super(message);
  }

  /** Reports what is wrong and where, with the failure that showed it. */
  public ConfigurationException(String message, Throwable cause) {
    super(message, cause);
  }
}
