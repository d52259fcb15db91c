package loadbalancer.policy;

import java.util.ArrayDeque;
import loadbalancer.model.Endpoint;

/**
 * One listed endpoint and what this instance knows of it: its attempts in flight, the outcomes and
 * latencies of finished attempts, and its state in the selection. Makes no decisions.
 *
 * <p>The counts and sums over finished attempts decay exponentially, so that an endpoint with a bad
 * record is tried again and can show that it has recovered.
 */
final class EndpointStatistics {

  /** Time constant of the decay: the time after which an attempt counts 1/e of its weight. */
  static final double STATISTICS_DECAY_MILLIS = 8_000;

  /** Shortest interval between two applications of the decay, to save processor time. */
  private static final double MIN_DECAY_INTERVAL_MILLIS = 200;

  /**
   * Weight, in samples, of the machine type's mean in the relative latency of an endpoint, and of a
   * concurrency of 0 in its mean concurrency.
   */
  private static final double LATENCY_PRIOR_SAMPLES = 2;

  /** Weight, in attempts, of the machine type's success rate in that of an endpoint. */
  private static final double MACHINE_TYPE_PRIOR_ATTEMPTS = 2;

  /** Weight, in attempts, of the success rate over all request classes in that of one class. */
  private static final double ALL_CLASSES_PRIOR_ATTEMPTS = 1;

  private Endpoint listedEndpoint;
  private final MachineTypeStatistics machineType;
  private final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();
  private double relativeLatencySum;
  private double latencySamples;
  private double concurrencySum;
  private double servedAttempts;
  private double attempts;
  private final double[] servedByClass;
  private final double[] attemptsByClass;
  private boolean inSubset;
  private double warmUpBudget;
  private double accumulatedProbability;
  private double connectionsFullUntilMillis = Double.NEGATIVE_INFINITY;
  private int consecutiveRejections;
  private boolean lastWasLate;
  private double latenessKnownAtMillis = Double.NEGATIVE_INFINITY;
  private double weight;
  private double decayedAtMillis;

  EndpointStatistics(
      Endpoint endpoint,
      MachineTypeStatistics machineType,
      int requestClassCount,
      double now,
      double initialAccumulatedProbability) {
    this.listedEndpoint = endpoint;
    this.machineType = machineType;
    this.servedByClass = new double[requestClassCount];
    this.attemptsByClass = new double[requestClassCount];
    this.accumulatedProbability = initialAccumulatedProbability;
    decayedAtMillis = now;
  }

  Endpoint listedEndpoint() {
    return listedEndpoint;
  }

  void setListedEndpoint(Endpoint endpoint) {
    listedEndpoint = endpoint;
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

  // ---- Outcomes and latencies of finished attempts

  /** Brings the decay of all counts and sums up to date, unless that was done just before. */
  void decay(double now) {
    if (now - decayedAtMillis < MIN_DECAY_INTERVAL_MILLIS) {
      return;
    }
    double decayFactor = Math.exp((decayedAtMillis - now) / STATISTICS_DECAY_MILLIS);
    relativeLatencySum *= decayFactor;
    latencySamples *= decayFactor;
    concurrencySum *= decayFactor;
    servedAttempts *= decayFactor;
    attempts *= decayFactor;
    for (int i = 0; i < attemptsByClass.length; i++) {
      servedByClass[i] *= decayFactor;
      attemptsByClass[i] *= decayFactor;
    }
    decayedAtMillis = now;
  }

  void recordOutcome(int requestClassIndex, boolean wasServed) {
    machineType.recordOutcome(wasServed);
    attempts += 1;
    attemptsByClass[requestClassIndex] += 1;
    if (wasServed) {
      servedAttempts += 1;
      servedByClass[requestClassIndex] += 1;
    }
  }

  /**
   * Records the latency of a served attempt.
   *
   * @param relativeLatency its latency relative to the expected latency of its request class
   * @param concurrencyAtSend this instance's other attempts in flight at the endpoint when it was
   *     sent
   */
  void recordLatency(double relativeLatency, int concurrencyAtSend) {
    relativeLatencySum += relativeLatency;
    latencySamples += 1;
    concurrencySum += concurrencyAtSend;
    machineType.recordLatency(relativeLatency);
  }

  /** Decayed number of finished attempts. */
  double attempts() {
    return attempts;
  }

  /** Mean latency of the served attempts relative to the mean over all endpoints. */
  double relativeLatency() {
    return (relativeLatencySum + LATENCY_PRIOR_SAMPLES * machineType.relativeLatency())
        / (latencySamples + LATENCY_PRIOR_SAMPLES);
  }

  /**
   * Mean number of this instance's other attempts in flight when the served ones were sent, pooled
   * with {@link #LATENCY_PRIOR_SAMPLES} samples of 0.
   */
  double meanConcurrency() {
    return concurrencySum / (latencySamples + LATENCY_PRIOR_SAMPLES);
  }

  /**
   * Share, 0 to 1, of the attempts of a request class that are served, estimated from the attempts
   * of that class, of all classes, and of the machine type.
   */
  double successRate(int requestClassIndex) {
    double allClassesRate =
        (servedAttempts + MACHINE_TYPE_PRIOR_ATTEMPTS * machineType.successRate())
            / (attempts + MACHINE_TYPE_PRIOR_ATTEMPTS);
    return (servedByClass[requestClassIndex] + ALL_CLASSES_PRIOR_ATTEMPTS * allClassesRate)
        / (attemptsByClass[requestClassIndex] + ALL_CLASSES_PRIOR_ATTEMPTS);
  }

  // ---- Overload detection

  void recordLateness(boolean wasLate, double now) {
    lastWasLate = wasLate;
    latenessKnownAtMillis = now;
  }

  /** Whether the last attempt that counted for or against overload was late. */
  boolean wasLate() {
    return lastWasLate;
  }

  /** When that attempt was counted, in milliseconds; negative infinity if there is none. */
  double latenessKnownAtMillis() {
    return latenessKnownAtMillis;
  }

  // ---- Rejections and connections

  /** Number of rejected attempts and failed connects since the last served attempt. */
  int consecutiveRejections() {
    return consecutiveRejections;
  }

  void recordRejection() {
    consecutiveRejections += 1;
  }

  void clearRejections() {
    consecutiveRejections = 0;
  }

  /** The time until which the endpoint is assumed to accept no further connections. */
  double connectionsFullUntilMillis() {
    return connectionsFullUntilMillis;
  }

  void setConnectionsFullUntilMillis(double untilMillis) {
    connectionsFullUntilMillis = untilMillis;
  }

  // ---- Selection

  /** Whether the endpoint is in the {@link EndpointSubset} that this instance prefers. */
  boolean isInSubset() {
    return inSubset;
  }

  void setInSubset(boolean isInSubset) {
    inSubset = isInSubset;
  }

  /**
   * The weight of the endpoint in the current selection. {@link EndpointSubset} uses it as a sort
   * key while it chooses the subset.
   */
  double weight() {
    return weight;
  }

  void setWeight(double newWeight) {
    weight = newWeight;
  }

  /**
   * What is left of the budget that the last arriving request has granted to the endpoint while it
   * warms up, as a fraction of an attempt.
   */
  double warmUpBudget() {
    return warmUpBudget;
  }

  void setWarmUpBudget(double budget) {
    warmUpBudget = budget;
  }

  /** Sum of the selection probabilities during warm-up, less the attempts sent for them. */
  double accumulatedProbability() {
    return accumulatedProbability;
  }

  /**
   * Excludes the endpoint from the current selection, and moves the given selection probability
   * from its budget to its accumulated probability.
   */
  void spendWarmUpBudget(double probability) {
    warmUpBudget -= probability;
    accumulatedProbability += probability;
    weight = 0;
  }

  /** Subtracts one attempt, which is being sent, from the accumulated probability. */
  void subtractAttempt() {
    accumulatedProbability -= 1;
  }
}
