package loadbalancer.benchmark;

import picocli.CommandLine.Option;

/** Options of every command that measures: the deployment and the seed. */
final class DeploymentOptions {

  private static final int MAX_ZONES = 100;

  @Option(names = "--zones", defaultValue = "13", description = "Zones (default ${DEFAULT-VALUE}).")
  int zones;

  @Option(names = "--seed", defaultValue = "1", description = "Seed (default ${DEFAULT-VALUE}).")
  long seed;

  /** Null for the command's default. */
  @Option(names = "--tier", description = "0 where clients arrive, else 1.")
  Integer tier;

  int tierOr(int defaultTier) {
    return tier == null ? defaultTier : tier;
  }

  /** Throws {@link BenchmarkException} if a value is out of bounds. */
  void check() {
    Arguments.requireBetween("--zones", zones, 1, MAX_ZONES);
    Arguments.requireBetween("--tier", tierOr(0), 0, 1);
  }
}
