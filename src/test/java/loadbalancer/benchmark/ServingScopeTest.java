package loadbalancer.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The serving program neither refers to nor loads the benchmark and its libraries. */
class ServingScopeTest {

  private static final String BENCHMARK_PATTERN =
      "loadbalancer[./]benchmark|picocli|HdrHistogram|SimulatedBalancer";

  /**
   * Limits for a start without class archive. They guard against libraries that the benchmark adds
   * and that the serving program would load as well.
   */
  private static final int MAX_CLASSES = 2_800;

  private static final double MAX_RESIDENT_KB = 70_800;

  @TempDir private Path folder;

  @Test
  void servingCodeDoesNotNameBenchmarkOrItsLibraries() throws Exception {
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      List<Path> sources =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !file.toString().matches(".*benchmark/[^/]*"))
              .toList();
      assertTrue(sources.size() > 20, sources.toString());
      for (Path source : sources) {
        assertFalse(
            Files.readString(source).matches("(?s).*(" + BENCHMARK_PATTERN + ").*"),
            source.toString());
      }
    }
  }

  /**
   * Starts a balancer with the JVM flags in deploy/balancer.toml and the libraries of the serving
   * jar.
   */
  @Test
  void servingStartsWithoutBenchmarkWithinClassAndMemoryLimits() throws Exception {
    Path classLoadLog = folder.resolve("loaded");
    String runCommand = ServeCommand.fromClasses("-Xlog:class+load:file=" + classLoadLog);
    try (FakeDiscoveryService discovery =
        new FakeDiscoveryService(
            SyntheticDeployment.entries(10, 2), new FakeDiscoveryServiceTest.NoOpListener())) {
      List<BalancerProcess> balancers = BalancerProcess.start(1, runCommand, discovery, 7, 1, 2);
      try {
        double peakKb = balancers.get(0).memoryKb("VmHWM");
        assertTrue(
            peakKb < MAX_RESIDENT_KB,
            "peak resident memory is " + peakKb + " KB, limit " + MAX_RESIDENT_KB + " KB");
      } finally {
        balancers.forEach(BalancerProcess::close);
      }
    }
    List<String> classes = Files.readAllLines(classLoadLog);
    assertEquals(
        List.of(),
        classes.stream().filter(line -> line.matches(".*(" + BENCHMARK_PATTERN + ").*")).toList());
    assertTrue(
        classes.size() < MAX_CLASSES, classes.size() + " classes loaded, limit " + MAX_CLASSES);
  }
}
