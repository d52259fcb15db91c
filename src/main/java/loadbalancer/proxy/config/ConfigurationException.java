package loadbalancer.proxy.config;

/**
 * The node was started with a configuration that it cannot run on; the message is for its operator.
 */
public final class ConfigurationException extends Exception {

  private static final long serialVersionUID = 1;

  public ConfigurationException(String message) {
    super(message);
  }
}
