package loadbalancer.benchmark;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.benchmark.Fleet.Entry;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures many balancers against one discovery service: the phases of {@link ControlScenario},
 * each printed as one point.
 */
@Command(
    name = "control",
    description = "Measures what control costs against balancers and list length.",
    mixinStandardHelpOptions = true)
final class ControlCommand implements Callable<Integer> {

  private static final int DEFAULT_TIER = 1;
  private static final int MAX_BALANCERS = 6_000;
  private static final int MAX_LIST_LENGTH = 15_000;

  /** Bounds memory: each balancer's policy holds the list, at some 400 bytes an entry. */
  private static final long MAX_ENTRIES = 4_000_000;

  private static final int SPARE_SOCKETS = 500;

  @Option(names = "--balancers", defaultValue = "200", description = "Simulated balancers.")
  int balancers;

  @Option(names = "--list", defaultValue = "100", description = "Upstreams in the list.")
  int list;

  @Option(names = "--real", defaultValue = "0", description = "Real balancers beside them.")
  int real;

  @Mixin DeploymentOptions deployment = new DeploymentOptions();

  @Option(
      names = "--loops",
      defaultValue = "2",
      description = "Threads that simulated balancers share.")
  int loops;

  @Option(
      names = "--rest",
      defaultValue = "6",
      description = "Seconds of the phase without changes.")
  double rest;

  @Option(
      names = "--changes",
      defaultValue = "5",
      description = "Single changes, one after another.")
  int changes;

  @Option(
      names = "--day",
      defaultValue = "12",
      description = "Seconds of changes at the daily rate.")
  double day;

  @Option(names = "--a-day", defaultValue = "29000", description = "Changes a day.")
  double changesADay;

  @Option(names = "--outage", defaultValue = "5", description = "Seconds of the outage.")
  double outage;

  @Option(
      names = "--refuse",
      description = "In the outage connections are reset instead of silent.")
  boolean refuse;

  @Option(
      names = "--keeps-history",
      description = "After the outage changes are known, not full lists.")
  boolean keepsHistory;

  private PrintStream out = System.out;

  /** Prints the points to another stream; for tests. */
  ControlCommand printTo(PrintStream stream) {
    out = stream;
    return this;
  }

  int tier() {
    return deployment.tierOr(DEFAULT_TIER);
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    validate();
    Machine.requireCapacity(2L * balancers + SPARE_SOCKETS, real);
    List<Entry> entries = new ArrayList<>(Fleet.entries(list, deployment.zones));
    Propagation simulatedPropagation = new Propagation();
    Propagation realPropagation = new Propagation();
    try (DiscoveryStandIn discovery =
            new DiscoveryStandIn(
                entries, new PropagationListener(simulatedPropagation, realPropagation));
        SimulatedFleet fleet = createFleet(discovery, simulatedPropagation)) {
      List<BalancerProcess> realBalancers =
          BalancerProcess.start(
              real,
              BalancerProcess.readRunCommand(),
              discovery,
              deployment.seed,
              tier(),
              deployment.zones);
      try {
        PhaseRecorder recorder =
            new PhaseRecorder(
                this, discovery, fleet, realBalancers, simulatedPropagation, realPropagation, out);
        new ControlScenario(this, discovery, fleet, entries, recorder).run();
      } finally {
        realBalancers.forEach(BalancerProcess::close);
      }
    }
    return 0;
  }

  private void validate() {
    Arguments.requireBetween("--balancers", balancers, 1, MAX_BALANCERS);
    Arguments.requireBetween("--list", list, 1, MAX_LIST_LENGTH);
    Arguments.requireBetween("--balancers times --list", (double) balancers * list, 1, MAX_ENTRIES);
    Arguments.requireBetween("--real", real, 0, 64);
    deployment.check();
    Arguments.requireBetween("--loops", loops, 1, 8);
    Arguments.requireBetween("--rest", rest, 0, 120);
    Arguments.requireBetween("--changes", changes, 0, 1_000);
    Arguments.requireBetween("--day", day, 0, 120);
    Arguments.requireBetween("--a-day", changesADay, 1, 10_000_000);
    Arguments.requireBetween("--outage", outage, 0, 60);
  }

  private SimulatedFleet createFleet(DiscoveryStandIn discovery, Propagation propagation) {
    SimulatedBalancer.Template template =
        SimulatedBalancer.Template.parse(
            Fleet.config(
                discovery.address(DiscoveryStandIn.SIMULATED_BALANCERS),
                discovery.address(DiscoveryStandIn.SIMULATED_BALANCERS),
                deployment.seed,
                balancers,
                tier(),
                deployment.zones));
    return new SimulatedFleet(template, balancers, loops, deployment.seed, propagation);
  }

  /** Stamps changes for all balancers, and what real ones acknowledge. */
  private record PropagationListener(Propagation simulated, Propagation real)
      implements DiscoveryStandIn.Listener {

    @Override
    public void changed(long version) {
      simulated.recordChange(version, System.nanoTime());
      real.recordChange(version, System.nanoTime());
    }

    @Override
    public void acknowledged(long after, long version) {
      real.recordApplied(after, version, System.nanoTime());
    }
  }
}
