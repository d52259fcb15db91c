package loadbalancer.policy;

/**
 * Moving averages of the relative latency and the success rate over all endpoints of a machine
 * type.
 */
final class MachineTypeStatistics {

  private final ExponentialMovingAverage relativeLatency;
  private final ExponentialMovingAverage successRate;

  MachineTypeStatistics(double minGain) {
    relativeLatency = new ExponentialMovingAverage(1, minGain);
    successRate = new ExponentialMovingAverage(1, minGain);
  }

  /** Mean latency of served attempts relative to the expected latency of their request class. */
  double relativeLatency() {
    return relativeLatency.value();
  }

  /** Share, 0 to 1, of the attempts at endpoints of this type that were served. */
  double successRate() {
    return successRate.value();
  }

  void recordLatency(double latencyToExpectedRatio) {
    relativeLatency.add(latencyToExpectedRatio);
  }

  void recordOutcome(boolean served) {
    successRate.add(served ? 1 : 0);
  }
}
