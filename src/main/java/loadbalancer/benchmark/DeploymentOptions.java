package loadbalancer.benchmark;

import picocli.CommandLine.Option;

/** Options that all measuring commands share: the simulated deployment and the seed. */
final class DeploymentOptions {

  private static final int MAX_ZONES = 100;

  @Option(
      names = "--zones",
      defaultValue = "13",
      description = "Number of zones of the endpoints (default ${DEFAULT-VALUE}).")
  int zones;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of all random decisions (default ${DEFAULT-VALUE}).")
  long seed;

  /** Null if the option is absent, which selects the default of the command. */
  @Option(
      names = "--tier",
      description =
          "Tier of the endpoints that the balancers send to. 0: the balancers receive requests from"
              + " clients; 1: they receive them from servers of another tier (default 0 for calls, 1"
              + " for control and processes).")
  Integer tier;

  /** Returns the tier, or a default if the option is absent. */
  int tierOr(int defaultTier) {
    return tier == null ? defaultTier : tier;
  }

  /** Throws {@link BenchmarkException} if a value is out of bounds. */
  void validate() {
    OptionValidator.requireBetween("--zones", zones, 1, MAX_ZONES);
    OptionValidator.requireBetween("--tier", tierOr(0), 0, 1);
  }
}
