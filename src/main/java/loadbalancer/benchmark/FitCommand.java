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

/** Fits a line through measured points for each seed, and prints the spread of the slopes. */
@Command(
    name = "fit",
    description = "Fits a straight line through points of JSON lines.",
    mixinStandardHelpOptions = true)
final class FitCommand implements Callable<Integer> {

  @Option(names = "--x", required = true, description = "Such as parameters.list.")
  private String xPath;

  @Option(names = "--y", required = true, description = "Such as results.call_us.median.")
  private String yPath;

  @Option(names = "--where", description = "Only points with this, such as parameters.phase=rest.")
  private List<String> where = List.of();

  @Parameters(arity = "1..*", description = "Files of JSON lines.")
  private List<Path> files;

  @Override
  public Integer call() throws IOException {
    Map<Long, List<double[]>> runs = new TreeMap<>();
    for (Path file : files) {
      if (!Files.isReadable(file)) {
        throw new BenchmarkException("can't read " + file);
      }
      for (String line : Files.readAllLines(file)) {
        JsonNode point = Point.JSON.readTree(line);
        JsonNode atX = at(point, xPath);
        JsonNode atY = at(point, yPath);
        if (where.stream().allMatch(wanted -> holds(point, wanted))
            && atX.isNumber()
            && atY.isNumber()) {
          runs.computeIfAbsent(point.path("seed").asLong(), seed -> new ArrayList<>())
              .add(new double[] {atX.asDouble(), atY.asDouble()});
        }
      }
    }
    if (runs.isEmpty()) {
      throw new BenchmarkException("no point has " + xPath + " and " + yPath);
    }
    System.out.println(describe(runs));
    return 0;
  }

  /** Describes the points, and the median, minimum and maximum of slopes and intercepts. */
  static String describe(Map<Long, List<double[]>> runs) {
    StringBuilder text = new StringBuilder();
    List<LeastSquares> fits = new ArrayList<>();
    runs.forEach(
        (seed, points) -> {
          LeastSquares fit =
              LeastSquares.fit(
                  points.stream().mapToDouble(p -> p[0]).toArray(),
                  points.stream().mapToDouble(p -> p[1]).toArray());
          fits.add(fit);
          text.append("seed %d:".formatted(seed));
          points.stream()
              .sorted((a, b) -> Double.compare(a[0], b[0]))
              .forEach(p -> text.append(" %s".formatted(number(p[0]) + "->" + number(p[1]))));
          text.append("; r2 %.4f%n".formatted(fit.r2()));
        });
    return text
        + "slope "
        + spread(fits.stream().mapToDouble(LeastSquares::slope))
        + ", intercept "
        + spread(fits.stream().mapToDouble(LeastSquares::intercept))
        + ", of "
        + fits.size()
        + " runs";
  }

  private static String spread(DoubleStream values) {
    double[] sorted = values.sorted().toArray();
    double median = (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    return number(median)
        + " ("
        + number(sorted[0])
        + " to "
        + number(sorted[sorted.length - 1])
        + ")";
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.4g", value)
        .replaceAll("(\\.\\d*?)0+$", "$1")
        .replaceAll("\\.$", "");
  }

  private static JsonNode at(JsonNode point, String path) {
    JsonNode node = point;
    for (String name : Arrays.asList(path.split("\\."))) {
      node = node.path(name);
    }
    return node;
  }

  private static boolean holds(JsonNode point, String wanted) {
    int equals = wanted.indexOf('=');
    if (equals < 0) {
      throw new BenchmarkException("--where wants name=value, not " + wanted);
    }
    return at(point, wanted.substring(0, equals)).asText().equals(wanted.substring(equals + 1));
  }
}
