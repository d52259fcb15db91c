package loadbalancer.proxy.discovery;

/** An endpoint list or an address in it is malformed; the message says where and how. */
public final class InvalidEndpointListException extends IllegalArgumentException {

  private static final long serialVersionUID = 1;

  InvalidEndpointListException(String message) {
    super(message);
  }

  InvalidEndpointListException(String message, Throwable cause) {
    super(message, cause);
  }
}
