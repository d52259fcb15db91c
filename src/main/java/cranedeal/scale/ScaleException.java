package cranedeal.scale;

/** A scale run can't start or go on; the message is one plain line for whoever started it. */
final class ScaleException extends RuntimeException {

  private static final long serialVersionUID = 1;

  ScaleException(String message) {
    super(message);
  }
}
