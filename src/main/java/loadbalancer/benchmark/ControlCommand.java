package loadbalancer.benchmark;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.benchmark.SyntheticDeployment.EndpointEntry;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures what it costs to distribute the endpoint list from one discovery service to many
 * balancers. Runs the phases of {@link ControlScenario} and prints a point for each.
 */
@Command(
    name = "control",
    description =
        "Measures what it costs to distribute the endpoint list and its changes from discovery,"
            + " depending on the number of balancers and the length of the list.",
    mixinStandardHelpOptions = true)
final class ControlCommand implements Callable<Integer> {

  private static final int DEFAULT_TIER = 1;
  private static final int MAX_BALANCERS = 6_000;
  private static final int MAX_LIST_LENGTH = 15_000;

  /**
   * Bounds memory: the policy of each simulated balancer holds the whole list, which takes about
   * 400 bytes per endpoint.
   */
  private static final long MAX_ENTRIES_OF_ALL_BALANCERS = 4_000_000;

  /**
   * Descriptors allowed for in addition to the two ends of each simulated balancer's connection.
   */
  private static final int SPARE_DESCRIPTORS = 500;

  @Option(
      names = "--balancers",
      defaultValue = "200",
      description = "Number of simulated balancers (default ${DEFAULT-VALUE}).")
  int balancerCount;

  @Option(
      names = "--list",
      defaultValue = "100",
      description = "Number of endpoints in discovery's list (default ${DEFAULT-VALUE}).")
  int listLength;

  @Option(
      names = "--real",
      defaultValue = "0",
      description =
          "Number of real balancer processes beside the simulated ones (default ${DEFAULT-VALUE}).")
  int realBalancerCount;

  @Mixin DeploymentOptions deployment = new DeploymentOptions();

  @Option(
      names = "--loops",
      defaultValue = "2",
      description =
          "Number of event loops, each with a thread, that the simulated balancers share"
              + " (default ${DEFAULT-VALUE}).")
  int loopCount;

  @Option(
      names = "--rest",
      defaultValue = "6",
      description = "Seconds of the phase 'rest', which has no changes (default ${DEFAULT-VALUE}).")
  double restSeconds;

  @Option(
      names = "--changes",
      defaultValue = "5",
      description =
          "Number of changes, each of one endpoint, in the phase 'changes'; each is made when all"
              + " simulated balancers have applied the one before (default ${DEFAULT-VALUE}).")
  int changeCount;

  @Option(
      names = "--day",
      defaultValue = "12",
      description =
          "Seconds of the phase 'day', with changes at the rate of --a-day (default ${DEFAULT-VALUE}).")
  double daySeconds;

  @Option(
      names = "--a-day",
      defaultValue = "29000",
      description =
          "Mean number of changes per day in the whole list, each of one endpoint, in the phase"
              + " 'day' (default ${DEFAULT-VALUE}).")
  double changesPerDay;

  @Option(
      names = "--outage",
      defaultValue = "5",
      description =
          "Seconds of the phase 'outage', in which discovery doesn't answer (default ${DEFAULT-VALUE}).")
  double outageSeconds;

  @Option(
      names = "--refuse",
      description =
          "During the outage, discovery resets all connections; else it accepts them but doesn't"
              + " answer.")
  boolean refuseConnections;

  @Option(
      names = "--keeps-history",
      description =
          "After the outage, discovery still has the changes and sends them; else it sends full"
              + " lists.")
  boolean keepHistory;

  private PrintStream out = System.out;

  /** Makes the command print its points to a stream other than standard output, for tests. */
  ControlCommand printPointsTo(PrintStream output) {
    out = output;
    return this;
  }

  int tier() {
    return deployment.tierOr(DEFAULT_TIER);
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    validate();
    BenchmarkMachine.requireCapacity(2L * balancerCount + SPARE_DESCRIPTORS, realBalancerCount);
    List<EndpointEntry> entries =
        new ArrayList<>(SyntheticDeployment.entries(listLength, deployment.zones));
    PropagationTimes simulatedTimes = new PropagationTimes();
    PropagationTimes realTimes = new PropagationTimes();
    try (FakeDiscoveryService discovery =
            new FakeDiscoveryService(entries, new VersionRecorder(simulatedTimes, realTimes));
        SimulatedBalancerFleet fleet = createFleet(discovery, simulatedTimes)) {
      List<BalancerProcess> realBalancers =
          BalancerProcess.start(
              realBalancerCount,
              BalancerProcess.readRunCommand(),
              discovery,
              deployment.seed,
              tier(),
              deployment.zones);
      try {
        PhaseRecorder recorder =
            new PhaseRecorder(
                this, discovery, fleet, realBalancers, simulatedTimes, realTimes, out);
        new ControlScenario(this, discovery, fleet, entries, recorder).run();
      } finally {
        realBalancers.forEach(BalancerProcess::close);
      }
    }
    return 0;
  }

  private void validate() {
    OptionValidator.requireBetween("--balancers", balancerCount, 1, MAX_BALANCERS);
    OptionValidator.requireBetween("--list", listLength, 1, MAX_LIST_LENGTH);
    OptionValidator.requireBetween(
        "the product of --balancers and --list",
        (double) balancerCount * listLength,
        1,
        MAX_ENTRIES_OF_ALL_BALANCERS);
    OptionValidator.requireBetween("--real", realBalancerCount, 0, 64);
    deployment.validate();
    OptionValidator.requireBetween("--loops", loopCount, 1, 8);
    OptionValidator.requireBetween("--rest", restSeconds, 0, 120);
    OptionValidator.requireBetween("--changes", changeCount, 0, 1_000);
    OptionValidator.requireBetween("--day", daySeconds, 0, 120);
    OptionValidator.requireBetween("--a-day", changesPerDay, 1, 10_000_000);
    OptionValidator.requireBetween("--outage", outageSeconds, 0, 60);
  }

  private SimulatedBalancerFleet createFleet(
      FakeDiscoveryService discovery, PropagationTimes propagationTimes) {
    SimulatedBalancer.Template template =
        SimulatedBalancer.Template.parse(
            SyntheticDeployment.configJson(
                discovery.address(FakeDiscoveryService.SIMULATED_BALANCERS),
                discovery.address(FakeDiscoveryService.SIMULATED_BALANCERS),
                deployment.seed,
                balancerCount,
                tier(),
                deployment.zones));
    return new SimulatedBalancerFleet(
        template, balancerCount, loopCount, deployment.seed, propagationTimes);
  }

  /**
   * Records when discovery has a new version, for all balancers, and when a real balancer
   * acknowledges it. What simulated balancers apply is recorded by {@link SimulatedBalancerFleet}.
   */
  private record VersionRecorder(PropagationTimes simulatedTimes, PropagationTimes realTimes)
      implements FakeDiscoveryService.Listener {

    @Override
    public void versionCreated(long version) {
      simulatedTimes.recordChange(version, System.nanoTime());
      realTimes.recordChange(version, System.nanoTime());
    }

    @Override
    public void versionAcknowledged(long previousVersion, long version) {
      realTimes.recordApplied(previousVersion, version, System.nanoTime());
    }
  }
}
