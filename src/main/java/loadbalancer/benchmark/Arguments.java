package loadbalancer.benchmark;

import java.util.List;

/** Checks option values; a value out of bounds throws {@link BenchmarkException}. */
final class Arguments {

  private Arguments() {}

  static void requireBetween(String name, double value, double least, double most) {
    if (!(value >= least && value <= most)) {
      throw new BenchmarkException(
          name
              + " has to be from "
              + plain(least)
              + " to "
              + plain(most)
              + ", not "
              + plain(value));
    }
  }

  static void requireEachBetween(String name, List<Integer> values, int least, int most) {
    values.forEach(value -> requireBetween(name, value, least, most));
  }

  private static String plain(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }
}
