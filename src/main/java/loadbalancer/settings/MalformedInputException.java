package loadbalancer.settings;

/**
 * Thrown if the settings or a frame sent by the simulator are malformed. The message is one line
 * that says what is wrong and where.
 */
public final class MalformedInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong and where, in one line
   */
  public MalformedInputException(String message) {
    super(message);
  }
}
