package loadbalancer.benchmark;

/** The benchmark can't start or go on; the message is one line for the command's user. */
final class BenchmarkException extends RuntimeException {

  private static final long serialVersionUID = 1;

  BenchmarkException(String message) {
    super(message);
  }
}
