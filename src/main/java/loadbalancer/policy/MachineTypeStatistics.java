package loadbalancer.policy;

/** Evidence about a machine type: mean relative latency and share of attempts served. */
final class MachineTypeStatistics {

  private final ExponentialMovingAverage relativeLatency;
  private final ExponentialMovingAverage servedShare;

  MachineTypeStatistics(double minGain) {
    relativeLatency = new ExponentialMovingAverage(1, minGain);
    servedShare = new ExponentialMovingAverage(1, minGain);
  }

  /** Latency of its endpoints relative to what was expected. */
  double relativeLatency() {
    return relativeLatency.value();
  }

  /** Share of the attempts at its endpoints that were served, 0 to 1. */
  double servedShare() {
    return servedShare.value();
  }

  void recordLatency(double relative) {
    relativeLatency.add(relative);
  }

  void recordOutcome(boolean served) {
    servedShare.add(served ? 1 : 0);
  }
}
