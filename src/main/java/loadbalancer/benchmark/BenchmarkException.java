package loadbalancer.benchmark;

/** A scale run can't start or go on; the message is one plain line for whoever started it. */
final class BenchmarkException extends RuntimeException {

  private static final long serialVersionUID = 1;

  BenchmarkException(String message) {
    super(message);
  }
}
