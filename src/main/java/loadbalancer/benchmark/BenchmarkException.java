package loadbalancer.benchmark;

/** Thrown if the benchmark can't start or continue; the message is one line for its user. */
final class BenchmarkException extends RuntimeException {

  private static final long serialVersionUID = 1;

  BenchmarkException(String message) {
    super(message);
  }
}
