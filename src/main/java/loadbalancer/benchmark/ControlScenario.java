package loadbalancer.benchmark;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.benchmark.Fleet.Entry;

/**
 * The phases of the control benchmark: start, rest, single changes, changes at the daily rate, loss
 * and cold return of a zone, and an outage of discovery with the recovery of all balancers.
 */
final class ControlScenario {

  private static final double UPDATE_TIMEOUT_SECONDS = 30;
  private static final double SECONDS_PER_DAY = 86_400;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int OUTAGE_CHANGES = 3;

  private final ControlCommand options;
  private final DiscoveryStandIn discovery;
  private final SimulatedFleet fleet;
  private final List<Entry> entries;
  private final PhaseRecorder recorder;
  private final SplittableRandom random;

  ControlScenario(
      ControlCommand options,
      DiscoveryStandIn discovery,
      SimulatedFleet fleet,
      List<Entry> entries,
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
    if (options.rest > 0) {
      recorder.record("rest", this::rest);
    }
    if (options.changes > 0) {
      recorder.record("changes", this::singleChanges);
    }
    if (options.day > 0) {
      recorder.record("day", this::dayOfChanges);
    }
    if (options.deployment.zones > 1) {
      recorder.record("zone-loss", this::loseZone);
      recorder.record("zone-return", this::returnZone);
    }
    if (options.outage > 0) {
      recorder.record("outage", this::outage);
      recorder.recordRecovery("return", this::recover);
    }
  }

  private int startAll() throws InterruptedException {
    fleet.start(position -> true);
    return awaitVersion(1);
  }

  private int rest() throws InterruptedException {
    sleep(options.rest);
    return 0;
  }

  private int singleChanges() throws InterruptedException {
    int behind = 0;
    for (int i = 0; i < options.changes; i++) {
      behind += awaitVersion(discovery.change(List.of(toggleDraining())));
    }
    return behind;
  }

  /** Changes at random times, at the given number a day on average. */
  private int dayOfChanges() throws InterruptedException {
    long end = System.nanoTime() + (long) (options.day * NANOS_PER_SECOND);
    long version = 0;
    while (true) {
      double gapSeconds =
          -Math.log(1 - random.nextDouble()) * SECONDS_PER_DAY / options.changesADay;
      double secondsLeft = (end - System.nanoTime()) / NANOS_PER_SECOND;
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

  private boolean isInFirstZone(int position) {
    return position % options.deployment.zones == 0;
  }

  private int outage() throws InterruptedException {
    discovery.mode(options.refuse ? DiscoveryStandIn.Mode.REFUSING : DiscoveryStandIn.Mode.SILENT);
    for (int i = 0; i < OUTAGE_CHANGES; i++) {
      sleep(options.outage / OUTAGE_CHANGES);
      discovery.change(List.of(toggleDraining()));
    }
    return 0;
  }

  /** Changes of the outage count from its end, as no balancer could have them before. */
  private int recover() throws InterruptedException {
    if (!options.keepsHistory) {
      discovery.dropHistory();
    }
    long version = discovery.change(List.of(toggleDraining()));
    recorder.restartPropagation();
    discovery.mode(DiscoveryStandIn.Mode.ANSWERING);
    return awaitVersion(version);
  }

  private int awaitVersion(long version) throws InterruptedException {
    return fleet.awaitVersion(version, UPDATE_TIMEOUT_SECONDS);
  }

  /** Has a random endpoint begin to drain, or be up again. */
  private Entry toggleDraining() {
    int index = random.nextInt(entries.size());
    Entry old = entries.get(index);
    Entry changed = old.with(old.state().equals("up") ? "draining" : "up", old.startedMillis());
    entries.set(index, changed);
    return changed;
  }

  private List<Entry> setFirstZoneState(String state, long startedMillis) {
    List<Entry> changed = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      if (entries.get(i).zone() == 0) {
        entries.set(i, entries.get(i).with(state, startedMillis));
        changed.add(entries.get(i));
      }
    }
    return changed;
  }

  private static void sleep(double seconds) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep((long) (seconds * NANOS_PER_SECOND));
  }
}
