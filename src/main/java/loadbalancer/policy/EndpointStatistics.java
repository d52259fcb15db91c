package loadbalancer.policy;

import java.util.ArrayDeque;
import loadbalancer.model.Endpoint;

/** What was seen of one server by this instance: sums of evidence that fade, no decisions. */
final class EndpointStatistics {

  Endpoint endpoint;
  final MachineTypeStatistics machineType;

  /** Own attempts in flight there, oldest first. */
  final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();

  /** Served latencies relative to what was expected, and how many. */
  double latencySum;

  double latencyCount;

  /** Own calls in flight there when these were sent. */
  double concurrencySum;

  /** Calls served and ended there, of all classes and of each. */
  double served;

  double attempts;
  final double[] servedByClass;
  final double[] attemptsByClass;

  /** Whether it belongs to the subset of the fleet that this instance prefers. */
  boolean inSubset;

  /** Chance of a send that it has earned while cold and that no draw has used. */
  double warmUpBudget;

  /** Chances of the draws while cold, added up, less the sends. */
  double accumulatedChance;

  /** Until when it is taken to have a full table of connections. */
  double connectionsFullUntil = Double.NEGATIVE_INFINITY;

  /** Calls that it turned away or did not let connect since it last served one. */
  int consecutiveRejections;

  /** Whether the last call that told of overload or of its want was late, and when that was. */
  boolean late;

  double lateAt = Double.NEGATIVE_INFINITY;

  /** Scratch for one draw. */
  double weight;

  private double decayedAt;

  EndpointStatistics(
      Endpoint listed, MachineTypeStatistics kind, int classes, double now, double sendsDue) {
    servedByClass = new double[classes];
    attemptsByClass = new double[classes];
    this.endpoint = listed;
    this.machineType = kind;
    this.accumulatedChance = sendsDue;
    decayedAt = now;
  }

  /** Uses a chance of a send that it has earned while cold: it has had its part of this draw. */
  void spendWarmUpChance(double chance) {
    warmUpBudget -= chance;
    accumulatedChance += chance;
    weight = 0;
  }

  /** Lets all evidence fade with the given time constant, at most once a step. */
  void decay(double now, double constant, double step) {
    if (now - decayedAt < step) {
      return;
    }
    double kept = Math.exp((decayedAt - now) / constant);
    latencySum *= kept;
    latencyCount *= kept;
    concurrencySum *= kept;
    served *= kept;
    attempts *= kept;
    for (int i = 0; i < attemptsByClass.length; i++) {
      servedByClass[i] *= kept;
      attemptsByClass[i] *= kept;
    }
    decayedAt = now;
  }

  void recordOutcome(int serviceClass, boolean wasServed) {
    machineType.served.add(wasServed ? 1 : 0);
    attempts += 1;
    attemptsByClass[serviceClass] += 1;
    if (wasServed) {
      served += 1;
      servedByClass[serviceClass] += 1;
    }
  }

  /**
   * Latency relative to the mean of all servers, pooled with {@code pool} samples of its machine
   * type.
   */
  double relativeLatency(double pool) {
    return (latencySum + pool * machineType.latency.value()) / (latencyCount + pool);
  }

  /**
   * Mean of own calls in flight ahead of those served, pooled with {@code pool} that found none.
   */
  double concurrency(double pool) {
    return concurrencySum / (latencyCount + pool);
  }

  /**
   * A class's share of calls served, pooled with that of all classes, and that with its machine
   * type's.
   */
  double success(int serviceClass, double kindPool, double classPool) {
    double all = (served + kindPool * machineType.served.value()) / (attempts + kindPool);
    return (servedByClass[serviceClass] + classPool * all)
        / (attemptsByClass[serviceClass] + classPool);
  }
}
