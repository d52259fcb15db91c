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

/** The serving program neither contains nor loads the benchmark. */
class ServingScopeTest {

  private static final String BENCHMARK =
      "loadbalancer[./]benchmark|picocli|HdrHistogram|SimulatedBalancer";

  /** Limits of a start without class archive: guards against libraries that the benchmark adds. */
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
            Files.readString(source).matches("(?s).*(" + BENCHMARK + ").*"), source.toString());
      }
    }
  }

  /** With the flags of the deploy file and the libraries of the serving jar. */
  @Test
  void servingStartsWithoutBenchmarkWithinClassAndMemoryLimits() throws Exception {
    Path loaded = folder.resolve("loaded");
    String run = ServeCommand.fromClasses("-Xlog:class+load:file=" + loaded);
    try (DiscoveryStandIn discovery =
        new DiscoveryStandIn(Fleet.entries(10, 2), new DiscoveryStandInTest.NoOpListener())) {
      List<BalancerProcess> balancers = BalancerProcess.start(1, run, discovery, 7, 1, 2);
      try {
        double most = balancers.get(0).memoryKb("VmHWM");
        assertTrue(most < MAX_RESIDENT_KB, most + " KB");
      } finally {
        balancers.forEach(BalancerProcess::close);
      }
    }
    List<String> classes = Files.readAllLines(loaded);
    assertEquals(
        List.of(),
        classes.stream().filter(line -> line.matches(".*(" + BENCHMARK + ").*")).toList());
    assertTrue(classes.size() < MAX_CLASSES, classes.size() + " classes");
  }
}
