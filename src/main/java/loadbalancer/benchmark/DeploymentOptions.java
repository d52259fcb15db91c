package loadbalancer.benchmark;

import picocli.CommandLine.Option;

/** Options of every command that measures: the zones of the deployment and the seed. */
final class DeploymentOptions {

  private static final int MOST_ZONES = 100;

  @Option(names = "--zones", defaultValue = "13", description = "Zones (default ${DEFAULT-VALUE}).")
  int zones;

  @Option(names = "--seed", defaultValue = "1", description = "Seed (default ${DEFAULT-VALUE}).")
  long seed;

  /** Throws {@link BenchmarkException} if a value is out of bounds. */
  void check() {
    Arguments.within("--zones", zones, 1, MOST_ZONES);
  }
}
