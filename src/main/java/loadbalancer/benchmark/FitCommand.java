package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.DoubleStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Fits a straight line through the measured points of each seed, and prints the median and range of
 * the lines' slopes and intercepts.
 */
@Command(
    name = "fit",
    description =
        "Fits a straight line through measured points, as other commands print them, for each seed.",
    mixinStandardHelpOptions = true)
final class FitCommand implements Callable<Integer> {

  @Option(
      names = "--x",
      required = true,
      description = "Path of the x value in a point, such as parameters.list.")
  private String xPath;

  @Option(
      names = "--y",
      required = true,
      description = "Path of the y value in a point, such as results.call_us.median.")
  private String yPath;

  @Option(
      names = "--where",
      description =
          "Uses only points that have a value at a path, given as path=value, such as"
              + " parameters.phase=rest. If repeated, all conditions must hold.")
  private List<String> conditions = List.of();

  @Parameters(arity = "1..*", description = "Files with one point as JSON per line.")
  private List<Path> files;

  @Override
  public Integer call() throws IOException {
    Map<Long, List<double[]>> pointsBySeed = new TreeMap<>();
    for (Path file : files) {
      if (!Files.isReadable(file)) {
        throw new BenchmarkException("can't read " + file);
      }
      for (String line : Files.readAllLines(file)) {
        JsonNode point = MeasuredPoint.JSON.readTree(line);
        JsonNode x = valueAt(point, xPath);
        JsonNode y = valueAt(point, yPath);
        if (conditions.stream().allMatch(condition -> satisfies(point, condition))
            && x.isNumber()
            && y.isNumber()) {
          pointsBySeed
              .computeIfAbsent(point.path("seed").asLong(), seed -> new ArrayList<>())
              .add(new double[] {x.asDouble(), y.asDouble()});
        }
      }
    }
    if (pointsBySeed.isEmpty()) {
      throw new BenchmarkException(
          "no selected point has numbers at both " + xPath + " and " + yPath);
    }
    System.out.println(describe(pointsBySeed));
    return 0;
  }

  /**
   * Describes the points and fit of each seed, and the median, minimum and maximum of the slopes
   * and intercepts.
   *
   * @param pointsBySeed the points of each seed, as arrays of x and y
   */
  static String describe(Map<Long, List<double[]>> pointsBySeed) {
    StringBuilder description = new StringBuilder();
    List<LeastSquares> fits = new ArrayList<>();
    pointsBySeed.forEach(
        (seed, points) -> {
          LeastSquares fit =
              LeastSquares.fit(
                  points.stream().mapToDouble(p -> p[0]).toArray(),
                  points.stream().mapToDouble(p -> p[1]).toArray());
          fits.add(fit);
          description.append("seed %d:".formatted(seed));
          points.stream()
              .sorted((a, b) -> Double.compare(a[0], b[0]))
              .forEach(
                  p -> description.append(" %s".formatted(format(p[0]) + "->" + format(p[1]))));
          description.append("; r2 %.4f%n".formatted(fit.r2()));
        });
    return description
        + "slope "
        + medianAndRange(fits.stream().mapToDouble(LeastSquares::slope))
        + ", intercept "
        + medianAndRange(fits.stream().mapToDouble(LeastSquares::intercept))
        + ", of "
        + fits.size()
        + " runs";
  }

  private static String medianAndRange(DoubleStream values) {
    double[] sorted = values.sorted().toArray();
    double median = (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    return format(median)
        + " ("
        + format(sorted[0])
        + " to "
        + format(sorted[sorted.length - 1])
        + ")";
  }

  private static String format(double value) {
    return String.format(Locale.ROOT, "%.4g", value)
        .replaceAll("(\\.\\d*?)0+$", "$1")
        .replaceAll("\\.$", "");
  }

  private static JsonNode valueAt(JsonNode point, String path) {
    JsonNode node = point;
    for (String name : Arrays.asList(path.split("\\."))) {
      node = node.path(name);
    }
    return node;
  }

  private static boolean satisfies(JsonNode point, String condition) {
    int equals = condition.indexOf('=');
    if (equals < 0) {
      throw new BenchmarkException("--where must be of the form path=value, but is " + condition);
    }
    return valueAt(point, condition.substring(0, equals))
        .asText()
        .equals(condition.substring(equals + 1));
  }
}
