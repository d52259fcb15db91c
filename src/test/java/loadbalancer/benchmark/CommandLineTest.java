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

/**
 * The benchmark's command line, the start of balancer processes, and the fit of lines to points.
 */
class CommandLineTest {

  @TempDir private Path folder;

  private record Result(int status, String out, String err) {}

  private static Result run(String... args) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream capturedOut = new ByteArrayOutputStream();
    ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
    try {
      System.setOut(new PrintStream(capturedOut, true, StandardCharsets.UTF_8));
      System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
      int status = BenchmarkMain.runCommand(args);
      return new Result(
          status,
          capturedOut.toString(StandardCharsets.UTF_8),
          capturedErr.toString(StandardCharsets.UTF_8));
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
  void invalidArgumentsPrintOneLineAndReturnAnErrorStatus(String args) {
    Result result = run(args.isEmpty() ? new String[0] : args.split(" "));
    assertTrue(result.status() != 0, result.toString());
    assertEquals(1, result.err().lines().count(), result.err());
    assertTrue(result.err().startsWith("load-balancer-benchmark: "), result.err());
    assertEquals("", result.out());
  }

  @Test
  void fitsOneSlopePerSeedAndReportsTheSpread() throws Exception {
    Path file = folder.resolve("points.jsonl");
    StringBuilder lines = new StringBuilder();
    for (int seed = 1; seed <= 3; seed++) {
      for (int x = 1; x <= 4; x++) {
        lines.append(point(seed, x, "a", 10 + seed * x));
        lines.append(point(seed, x, "b", 7));
      }
    }
    Files.writeString(file, lines);
    Result result =
        run(
            "fit",
            "--x",
            "parameters.n",
            "--y",
            "results.y",
            "--where",
            "parameters.phase=a",
            file.toString());
    assertEquals(0, result.status(), result.err());
    List<String> outputLines = result.out().lines().toList();
    assertEquals("seed 2: 1->12 2->14 3->16 4->18; r2 1.0000", outputLines.get(1));
    assertEquals("slope 2 (1 to 3), intercept 10 (10 to 10), of 3 runs", outputLines.get(3));
  }

  private static String point(int seed, int x, String phase, int y) {
    return "{\"seed\":%d,\"parameters\":{\"n\":%d,\"phase\":\"%s\"},\"results\":{\"y\":%d}}%n"
        .formatted(seed, x, phase, y);
  }

  @Test
  void failedStartOfBalancerIsReportedWithItsLastLogLine() {
    try (FakeDiscoveryService discovery =
        new FakeDiscoveryService(
            SyntheticDeployment.entries(1, 1), new FakeDiscoveryServiceTest.NoOpListener())) {
      BenchmarkException e =
          assertThrows(
              BenchmarkException.class,
              () ->
                  BalancerProcess.start(
                      2, "echo first; echo no such list; exit 3", discovery, 7, 1, 1));
      assertTrue(
          e.getMessage()
              .matches("balancer process \\d+ exited with status 3; last log line: no such list"),
          e.getMessage());
    }
  }

  @Test
  void fitNeedsTwoDifferentXValues() {
    assertThrows(
        BenchmarkException.class,
        () -> FitCommand.describe(Map.of(1L, List.of(new double[] {3, 1}, new double[] {3, 2}))));
  }
}
