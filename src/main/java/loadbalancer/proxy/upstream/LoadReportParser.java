package loadbalancer.proxy.upstream;

import java.util.Arrays;
import java.util.List;

/**
 * Parses an endpoint's load report, such as {@code TEXT inflight=7, queue=2, util=0.61}. Stateless.
 */
public final class LoadReportParser {

  private static final String FORMAT_PREFIX = "TEXT";

  /** A report with a larger value counts as malformed. */
  private static final double MAX_VALUE = 1e9;

  private LoadReportParser() {}

  /**
   * Returns the values of the given fields, in the order of {@code fieldNames} and in the units
   * that the endpoint uses.
   *
   * @return null if the report is null, a field is missing, or a value is not a number from 0 to
   *     10^9
   */
  public static double[] parse(String report, List<String> fieldNames) {
    if (report == null || fieldNames.isEmpty()) {
      return null;
    }
    double[] values = new double[fieldNames.size()];
    Arrays.fill(values, Double.NaN);
    String pairs = report.strip();
    if (pairs.startsWith(FORMAT_PREFIX)) {
      pairs = pairs.substring(FORMAT_PREFIX.length());
    }
    for (String pair : pairs.split(",")) {
      int equalsIndex = pair.indexOf('=');
      int fieldIndex =
          equalsIndex < 0 ? -1 : fieldNames.indexOf(pair.substring(0, equalsIndex).strip());
      if (fieldIndex >= 0) {
        try {
          values[fieldIndex] = Double.parseDouble(pair.substring(equalsIndex + 1).strip());
        } catch (NumberFormatException e) {
          return null;
        }
      }
    }
    // The value of a missing field is still NaN, which fails the range check too.
    return Arrays.stream(values).allMatch(value -> value >= 0 && value <= MAX_VALUE)
        ? values
        : null;
  }
}
