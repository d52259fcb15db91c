package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Arrays;

/**
 * A measured point: the results of one run with their parameters, and the machine that they were
 * measured on. Printed as a line of JSON.
 */
final class MeasuredPoint {

  static final JsonMapper JSON = new JsonMapper();

  private static final double ROUNDING_FACTOR = 1_000;

  final ObjectNode parameters;
  final ObjectNode results;
  private final ObjectNode pointNode = JSON.createObjectNode();

  MeasuredPoint(String command, long seed) {
    pointNode.put("command", command);
    pointNode.put("seed", seed);
    parameters = pointNode.putObject("parameters");
    BenchmarkMachine.describe(pointNode.putObject("machine"));
    results = pointNode.putObject("results");
  }

  void print(PrintStream out) {
    out.println(pointNode);
    out.flush();
  }

  /** Rounds a value to three decimals. */
  static double rounded(double value) {
    return Math.rint(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
  }

  /** Writes the median, minimum, maximum and number of repeated measurements of a value. */
  static void putSpread(ObjectNode parent, String key, double... values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    ObjectNode spreadNode = parent.putObject(key);
    spreadNode.put("median", rounded(sorted[sorted.length / 2]));
    spreadNode.put("min", rounded(sorted[0]));
    spreadNode.put("max", rounded(sorted[sorted.length - 1]));
    spreadNode.put("of", sorted.length);
  }
}
