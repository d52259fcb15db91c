package loadbalancer.proxy.discovery;

/** Thrown if an endpoint list or an address is malformed; the message names the invalid value. */
public final class InvalidEndpointListException extends IllegalArgumentException {

  private static final long serialVersionUID = 1;

  InvalidEndpointListException(String message) {
    super(message);
  }

  InvalidEndpointListException(String message, Throwable cause) {
    super(message, cause);
  }
}
