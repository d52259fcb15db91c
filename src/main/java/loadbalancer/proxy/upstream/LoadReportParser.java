package loadbalancer.proxy.upstream;

import java.util.Arrays;
import java.util.List;

/**
 * Parses an endpoint's load report, such as {@code TEXT inflight=7, queue=2, util=0.61}. Stateless.
 */
public final class LoadReportParser {

  private static final String FORMAT_PREFIX = "TEXT";

  /** A larger value is a malformed one. */
  private static final double MAX_VALUE = 1e9;

  private LoadReportParser() {}

  /**
   * Returns the values of the given fields, in their order and in the endpoint's own units; null
   * unless the text holds every field with a value from 0 to 10^9.
   */
  public static double[] parse(String text, List<String> fields) {
    if (text == null || fields.isEmpty()) {
      return null;
    }
    double[] values = new double[fields.size()];
    Arrays.fill(values, Double.NaN);
    String pairs = text.strip();
    if (pairs.startsWith(FORMAT_PREFIX)) {
      pairs = pairs.substring(FORMAT_PREFIX.length());
    }
    for (String pair : pairs.split(",")) {
      int equals = pair.indexOf('=');
      int field = equals < 0 ? -1 : fields.indexOf(pair.substring(0, equals).strip());
      if (field >= 0) {
        try {
          values[field] = Double.parseDouble(pair.substring(equals + 1).strip());
        } catch (NumberFormatException e) {
          return null;
        }
      }
    }
    // A missing field is still NaN, which is out of range too.
    return Arrays.stream(values).allMatch(value -> value >= 0 && value <= MAX_VALUE)
        ? values
        : null;
  }
}
