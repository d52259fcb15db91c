package loadbalancer.benchmark;

import java.util.List;

/** Bounds of what a command is given; a value outside them is one plain line. */
final class Arguments {

  private Arguments() {}

  static void within(String name, double value, double least, double most) {
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

  static void each(String name, List<Integer> values, int least, int most) {
    values.forEach(value -> within(name, value, least, most));
  }

  private static String plain(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }
}
