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

/** The scale run is out of reach of the program that serves. */
class ServingScopeTest {

  private static final String SCALE =
      "loadbalancer[./]benchmark|picocli|HdrHistogram|SimulatedBalancer";

  /**
   * Without its class archive serve had loaded 2,740 to 2,743 classes and taken 66,588 to 67,488 KB
   * at most, in three starts each before there was a scale run; a fiftieth and a twentieth more are
   * allowed.
   */
  private static final int MOST_CLASSES = 2_800;

  private static final double MOST_KB = 70_800;

  @TempDir private Path folder;

  @Test
  void noClassOfTheProgramThatServesNamesTheScaleRunOrItsLibraries() throws Exception {
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      List<Path> sources =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !file.toString().matches(".*benchmark/[^/]*"))
              .toList();
      assertTrue(sources.size() > 20, sources.toString());
      for (Path source : sources) {
        assertFalse(Files.readString(source).matches("(?s).*(" + SCALE + ").*"), source.toString());
      }
    }
  }

  /** With run's own flags and the libraries of its jar alone. */
  @Test
  void serveStartsWithoutThemAndTakesNoMoreThanBefore() throws Exception {
    Path loaded = folder.resolve("loaded");
    String run = ServeCommand.fromClasses("-Xlog:class+load:file=" + loaded);
    try (DiscoveryStandIn discovery =
        new DiscoveryStandIn(Fleet.entries(10, 2), new DiscoveryStandInTest.Deaf())) {
      List<BalancerProcess> balancers = BalancerProcess.start(1, run, discovery, 7, 1, 2);
      try {
        double most = balancers.get(0).memoryKb("VmHWM");
        assertTrue(most < MOST_KB, most + " KB");
      } finally {
        balancers.forEach(BalancerProcess::close);
      }
    }
    List<String> classes = Files.readAllLines(loaded);
    assertEquals(
        List.of(), classes.stream().filter(line -> line.matches(".*(" + SCALE + ").*")).toList());
    assertTrue(classes.size() < MOST_CLASSES, classes.size() + " classes");
  }
}
