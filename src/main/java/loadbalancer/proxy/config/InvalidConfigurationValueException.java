package loadbalancer.proxy.config;

/** Thrown if a configuration value is malformed; names its key and what was expected. */
public final class InvalidConfigurationValueException extends IllegalArgumentException {

  private static final long serialVersionUID = 1;

  InvalidConfigurationValueException(String key, String problem, Throwable cause) {
    super(key + ": " + problem, cause);
  }
}
