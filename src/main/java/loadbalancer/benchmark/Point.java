package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Arrays;

/** One measured point, printed as a line of JSON: parameters, machine and results. */
final class Point {

  static final JsonMapper JSON = new JsonMapper();

  private static final double THOUSAND = 1_000;

  final ObjectNode parameters;
  final ObjectNode results;
  private final ObjectNode line = JSON.createObjectNode();

  Point(String command, long seed) {
    line.put("command", command);
    line.put("seed", seed);
    parameters = line.putObject("parameters");
    Machine.describe(line.putObject("machine"));
    results = line.putObject("results");
  }

  void print(PrintStream out) {
    out.println(line);
    out.flush();
  }

  /** Rounds to thousandths. */
  static double rounded(double value) {
    return Math.rint(value * THOUSAND) / THOUSAND;
  }

  /** Writes the median, minimum, maximum and number of several measurements. */
  static void putSpread(ObjectNode to, String name, double... values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    ObjectNode spread = to.putObject(name);
    spread.put("median", rounded(sorted[sorted.length / 2]));
    spread.put("min", rounded(sorted[0]));
    spread.put("max", rounded(sorted[sorted.length - 1]));
    spread.put("of", sorted.length);
  }
}
