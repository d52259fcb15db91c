package loadbalancer.benchmark;

import java.util.List;

/** Validates option values; throws {@link BenchmarkException} for one that is out of bounds. */
final class OptionValidator {

  private OptionValidator() {}

  static void requireBetween(String option, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new BenchmarkException(
          option
              + " must be from "
              + format(min)
              + " to "
              + format(max)
              + ", but is "
              + format(value));
    }
  }

  static void requireEachBetween(String option, List<Integer> values, int min, int max) {
    values.forEach(value -> requireBetween(option, value, min, max));
  }

  private static String format(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }
}
