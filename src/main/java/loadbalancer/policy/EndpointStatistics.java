package loadbalancer.policy;

import java.util.ArrayDeque;
import loadbalancer.model.Endpoint;

/**
 * One listed endpoint and what this instance has seen of it: decayed evidence, no decisions.
 *
 * <p>All sums decay exponentially, so that an endpoint that has recovered is tried again.
 */
final class EndpointStatistics {

  /** Time in which evidence decays to 1/e. */
  static final double EVIDENCE_DECAY_MILLIS = 8_000;

  /** Decay is applied no more often than this: it saves processor time. */
  private static final double DECAY_STEP_MILLIS = 200;

  /** Samples that the mean of the machine type counts for in an endpoint's relative latency. */
  private static final double LATENCY_PRIOR_SAMPLES = 2;

  /** Attempts that the machine type's served share counts for in an endpoint's. */
  private static final double MACHINE_TYPE_PRIOR_ATTEMPTS = 2;

  /** Attempts that an endpoint's served share over all classes counts for in that of one class. */
  private static final double ALL_CLASSES_PRIOR_ATTEMPTS = 1;

  private Endpoint listedEndpoint;
  private final MachineTypeStatistics machineType;
  private final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();
  private double latencySum;
  private double latencyCount;
  private double concurrencySum;
  private double served;
  private double attempts;
  private final double[] servedByClass;
  private final double[] attemptsByClass;
  private boolean inSubset;
  private double warmUpBudget;
  private double accumulatedProbability;
  private double connectionsFullUntilMillis = Double.NEGATIVE_INFINITY;
  private int consecutiveRejections;
  private boolean late;
  private double latenessKnownAtMillis = Double.NEGATIVE_INFINITY;
  private double weight;
  private double decayedAtMillis;

  EndpointStatistics(
      Endpoint endpoint,
      MachineTypeStatistics machineType,
      int requestClassCount,
      double now,
      double accumulatedChance) {
    this.listedEndpoint = endpoint;
    this.machineType = machineType;
    this.servedByClass = new double[requestClassCount];
    this.attemptsByClass = new double[requestClassCount];
    this.accumulatedProbability = accumulatedChance;
    decayedAtMillis = now;
  }

  Endpoint listedEndpoint() {
    return listedEndpoint;
  }

  void setEndpoint(Endpoint updated) {
    listedEndpoint = updated;
  }

  // ---- Attempts in flight

  int inFlightCount() {
    return inFlight.size();
  }

  /** The attempt that has been running longest; null if there is none. */
  Attempt oldestInFlight() {
    return inFlight.peekFirst();
  }

  void attemptSent(Attempt attempt) {
    inFlight.addLast(attempt);
  }

  void attemptFinished(Attempt attempt) {
    inFlight.remove(attempt);
  }

  // ---- Evidence

  /** Decays all evidence to the present. */
  void decay(double now) {
    if (now - decayedAtMillis < DECAY_STEP_MILLIS) {
      return;
    }
    double factor = Math.exp((decayedAtMillis - now) / EVIDENCE_DECAY_MILLIS);
    latencySum *= factor;
    latencyCount *= factor;
    concurrencySum *= factor;
    served *= factor;
    attempts *= factor;
    for (int i = 0; i < attemptsByClass.length; i++) {
      servedByClass[i] *= factor;
      attemptsByClass[i] *= factor;
    }
    decayedAtMillis = now;
  }

  void recordOutcome(int requestClass, boolean wasServed) {
    machineType.recordOutcome(wasServed);
    attempts += 1;
    attemptsByClass[requestClass] += 1;
    if (wasServed) {
      served += 1;
      servedByClass[requestClass] += 1;
    }
  }

  void recordLatency(double relative, int concurrencyAtSend) {
    latencySum += relative;
    latencyCount += 1;
    concurrencySum += concurrencyAtSend;
    machineType.recordLatency(relative);
  }

  /** Ended attempts, decayed. */
  double attempts() {
    return attempts;
  }

  /** Served latency relative to the mean of all endpoints. */
  double relativeLatency() {
    return (latencySum + LATENCY_PRIOR_SAMPLES * machineType.relativeLatency())
        / (latencyCount + LATENCY_PRIOR_SAMPLES);
  }

  /**
   * Mean number of other attempts in flight when the served ones were sent, pooled with a few
   * samples that found none.
   */
  double meanConcurrency() {
    return concurrencySum / (latencyCount + LATENCY_PRIOR_SAMPLES);
  }

  /** Share of the attempts of a class that are served, 0 to 1. */
  double successRate(int requestClass) {
    double allClasses =
        (served + MACHINE_TYPE_PRIOR_ATTEMPTS * machineType.servedShare())
            / (attempts + MACHINE_TYPE_PRIOR_ATTEMPTS);
    return (servedByClass[requestClass] + ALL_CLASSES_PRIOR_ATTEMPTS * allClasses)
        / (attemptsByClass[requestClass] + ALL_CLASSES_PRIOR_ATTEMPTS);
  }

  // ---- Signs of overload

  void recordLateness(boolean wasLate, double now) {
    late = wasLate;
    latenessKnownAtMillis = now;
  }

  /** Whether the last attempt that was judged for overload was late. */
  boolean wasLate() {
    return late;
  }

  /** When that attempt was judged; negative infinity if never. */
  double latenessKnownAtMillis() {
    return latenessKnownAtMillis;
  }

  // ---- Rejections and connections

  /** Rejected or unconnected attempts since the last one that was served. */
  int consecutiveRejections() {
    return consecutiveRejections;
  }

  void recordRejection() {
    consecutiveRejections += 1;
  }

  void clearRejections() {
    consecutiveRejections = 0;
  }

  /** Until when it is taken to accept no more connections. */
  double connectionsFullUntilMillis() {
    return connectionsFullUntilMillis;
  }

  void setConnectionsFullUntilMillis(double untilMillis) {
    connectionsFullUntilMillis = untilMillis;
  }

  // ---- Selection

  boolean isInSubset() {
    return inSubset;
  }

  void setInSubset(boolean preferred) {
    inSubset = preferred;
  }

  /** Its weight in the selection under way; also the sort key while the subset is chosen. */
  double weight() {
    return weight;
  }

  void setWeight(double newWeight) {
    weight = newWeight;
  }

  /** Attempts, as a fraction of one, that it may still be given for the latest request. */
  double warmUpBudget() {
    return warmUpBudget;
  }

  void setWarmUpBudget(double budget) {
    warmUpBudget = budget;
  }

  /** Sum of its selection probabilities while warming up, less the attempts sent. */
  double accumulatedProbability() {
    return accumulatedProbability;
  }

  /** Takes it out of the selection under way; the probability counts towards its next attempt. */
  void spendWarmUpBudget(double probability) {
    warmUpBudget -= probability;
    accumulatedProbability += probability;
    weight = 0;
  }

  /** An attempt is sent to it for the accumulated probability. */
  void subtractAttempt() {
    accumulatedProbability -= 1;
  }
}
