package loadbalancer.benchmark;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.benchmark.SyntheticDeployment.EndpointEntry;

/**
 * The phases of the command {@code control}: start of all balancers, rest, single changes, changes
 * at a daily rate, loss of a zone with its endpoints and balancers, their return as newly started
 * ones, an outage of discovery, and the recovery of all balancers from it.
 */
final class ControlScenario {

  private static final double UPDATE_TIMEOUT_SECONDS = 30;
  private static final double SECONDS_PER_DAY = 86_400;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int OUTAGE_CHANGES = 3;

  private final ControlCommand options;
  private final FakeDiscoveryService discovery;
  private final SimulatedBalancerFleet fleet;
  private final List<EndpointEntry> entries;
  private final PhaseRecorder recorder;
  private final SplittableRandom random;

  ControlScenario(
      ControlCommand options,
      FakeDiscoveryService discovery,
      SimulatedBalancerFleet fleet,
      List<EndpointEntry> entries,
      PhaseRecorder recorder) {
    this.options = options;
    this.discovery = discovery;
    this.fleet = fleet;
    this.entries = entries;
    this.recorder = recorder;
    random = new SplittableRandom(options.deployment.seed);
  }

  void run() throws IOException, InterruptedException {
    recorder.recordWithHeap("start", this::startAll);
    if (options.restSeconds > 0) {
      recorder.record("rest", this::rest);
    }
    if (options.changeCount > 0) {
      recorder.record("changes", this::singleChanges);
    }
    if (options.daySeconds > 0) {
      recorder.record("day", this::changesAtDailyRate);
    }
    if (options.deployment.zones > 1) {
      recorder.record("zone-loss", this::loseZone);
      recorder.record("zone-return", this::returnZone);
    }
    if (options.outageSeconds > 0) {
      recorder.record("outage", this::outage);
      recorder.recordRecovery("return", this::recover);
    }
  }

  // Each phase returns how many running simulated balancers did not get its last version within the
  // timeout. Single changes add up these numbers for each change; rest and outage return 0, as they
  // wait for no version.

  private int startAll() throws InterruptedException {
    fleet.start(balancerIndex -> true);
    return awaitVersion(1);
  }

  private int rest() throws InterruptedException {
    sleep(options.restSeconds);
    return 0;
  }

  private int singleChanges() throws InterruptedException {
    int outdatedCount = 0;
    for (int i = 0; i < options.changeCount; i++) {
      outdatedCount += awaitVersion(discovery.change(List.of(toggleDraining())));
    }
    return outdatedCount;
  }

  /**
   * Makes changes at random times, on average as many per day as the option {@code --a-day} says.
   */
  private int changesAtDailyRate() throws InterruptedException {
    long endNanos = System.nanoTime() + (long) (options.daySeconds * NANOS_PER_SECOND);
    long version = 0;
    while (true) {
      double gapSeconds =
          -Math.log(1 - random.nextDouble()) * SECONDS_PER_DAY / options.changesPerDay;
      double secondsLeft = (endNanos - System.nanoTime()) / NANOS_PER_SECOND;
      sleep(Math.min(gapSeconds, secondsLeft));
      if (gapSeconds >= secondsLeft) {
        return awaitVersion(version);
      }
      version = discovery.change(List.of(toggleDraining()));
    }
  }

  private int loseZone() throws InterruptedException {
    fleet.stop(this::isInFirstZone);
    return awaitVersion(discovery.change(setFirstZoneState("removed", 0)));
  }

  private int returnZone() throws InterruptedException {
    long version = discovery.change(setFirstZoneState("up", System.currentTimeMillis()));
    fleet.start(this::isInFirstZone);
    return awaitVersion(version);
  }

  private boolean isInFirstZone(int balancerIndex) {
    return balancerIndex % options.deployment.zones == 0;
  }

  private int outage() throws InterruptedException {
    discovery.setMode(
        options.refuseConnections
            ? FakeDiscoveryService.Mode.REFUSING
            : FakeDiscoveryService.Mode.SILENT);
    for (int i = 0; i < OUTAGE_CHANGES; i++) {
      sleep(options.outageSeconds / OUTAGE_CHANGES);
      discovery.change(List.of(toggleDraining()));
    }
    return 0;
  }

  /**
   * Ends the outage. The propagation times of changes during the outage are measured from its end,
   * as no balancer could receive them earlier.
   */
  private int recover() throws InterruptedException {
    if (!options.keepHistory) {
      discovery.dropHistory();
    }
    long version = discovery.change(List.of(toggleDraining()));
    recorder.restartPropagation();
    discovery.setMode(FakeDiscoveryService.Mode.ANSWERING);
    return awaitVersion(version);
  }

  private int awaitVersion(long version) throws InterruptedException {
    return fleet.awaitVersion(version, UPDATE_TIMEOUT_SECONDS);
  }

  /** Changes the state of a random endpoint from up to draining or back. */
  private EndpointEntry toggleDraining() {
    int index = random.nextInt(entries.size());
    EndpointEntry current = entries.get(index);
    EndpointEntry changed =
        current.withState(
            current.state().equals("up") ? "draining" : "up", current.startedMillis());
    entries.set(index, changed);
    return changed;
  }

  private List<EndpointEntry> setFirstZoneState(String state, long startedMillis) {
    List<EndpointEntry> changed = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      if (entries.get(i).zone() == 0) {
        entries.set(i, entries.get(i).withState(state, startedMillis));
        changed.add(entries.get(i));
      }
    }
    return changed;
  }

  private static void sleep(double seconds) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep((long) (seconds * NANOS_PER_SECOND));
  }
}
