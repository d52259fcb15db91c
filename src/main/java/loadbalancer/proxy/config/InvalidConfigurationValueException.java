package loadbalancer.proxy.config;

/**
 * Thrown if a value in the configuration is malformed. The message names its key and what was
 * expected.
 */
public final class InvalidConfigurationValueException extends IllegalArgumentException {

  private static final long serialVersionUID = 1;

  InvalidConfigurationValueException(String key, String problem, Throwable cause) {
    super(key + ": " + problem, cause);
  }
}
