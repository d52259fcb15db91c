package loadbalancer.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the command line takes, and the slopes that it draws. */
class CommandLineTest {

  @TempDir private Path folder;

  private record Ended(int status, String out, String err) {}

  private static Ended run(String... args) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    ByteArrayOutputStream complained = new ByteArrayOutputStream();
    try {
      System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
      System.setErr(new PrintStream(complained, true, StandardCharsets.UTF_8));
      int status = BenchmarkMain.run(args);
      return new Ended(
          status,
          said.toString(StandardCharsets.UTF_8),
          complained.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "nothing",
        "control --balancers 0",
        "control --balancers many",
        "control --balancers 6000 --list 4000",
        "control --day NaN",
        "calls --lists 10,0",
        "processes --count 65",
        "calls --limit 0",
        "fit --x a --y b",
        "fit --x a --y b missing.jsonl"
      })
  void whatIsAmissIsOnePlainLineAndAStatus(String args) {
    Ended ended = run(args.isEmpty() ? new String[0] : args.split(" "));
    assertTrue(ended.status() != 0, ended.toString());
    assertEquals(1, ended.err().lines().count(), ended.err());
    assertTrue(ended.err().startsWith("load-balancer-benchmark: "), ended.err());
    assertEquals("", ended.out());
  }

  @Test
  void aSlopeIsThatOfTheLineForEachSeedWithItsSpread() throws Exception {
    Path file = folder.resolve("points.jsonl");
    StringBuilder lines = new StringBuilder();
    for (int seed = 1; seed <= 3; seed++) {
      for (int x = 1; x <= 4; x++) {
        lines.append(point(seed, x, "a", 10 + seed * x));
        lines.append(point(seed, x, "b", 7));
      }
    }
    Files.writeString(file, lines);
    Ended ended =
        run(
            "fit",
            "--x",
            "parameters.n",
            "--y",
            "results.y",
            "--where",
            "parameters.phase=a",
            file.toString());
    assertEquals(0, ended.status(), ended.err());
    List<String> said = ended.out().lines().toList();
    assertEquals("seed 2: 1->12 2->14 3->16 4->18; r2 1.0000", said.get(1));
    assertEquals("slope 2 (1 to 3), intercept 10 (10 to 10), of 3 runs", said.get(3));
  }

  private static String point(int seed, int x, String phase, int y) {
    return "{\"seed\":%d,\"parameters\":{\"n\":%d,\"phase\":\"%s\"},\"results\":{\"y\":%d}}%n"
        .formatted(seed, x, phase, y);
  }

  @Test
  void aBalancerThatDoesNotStartIsOneLineWithItsLastWords() {
    try (DiscoveryStandIn discovery =
        new DiscoveryStandIn(Fleet.entries(1, 1), new DiscoveryStandInTest.Deaf())) {
      BenchmarkException e =
          assertThrows(
              BenchmarkException.class,
              () ->
                  BalancerProcess.start(
                      2, "echo first; echo no such list; exit 3", discovery, 7, 1, 1));
      assertEquals("a balancer ended with status 3: no such list", e.getMessage());
    }
  }

  @Test
  void aSlopeNeedsTwoSizes() {
    assertThrows(
        BenchmarkException.class,
        () -> FitCommand.describe(Map.of(1L, List.of(new double[] {3, 1}, new double[] {3, 2}))));
  }
}
