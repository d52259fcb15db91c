package loadbalancer.settings;

/**
 * The settings or a frame of the simulator are malformed. The message says what is wrong and where,
 * in one line.
 */
public final class MalformedInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Reports what is wrong and where. */
  public MalformedInputException(String message) {
    super(message);
  }
}
