package loadbalancer.policy;

/** What was seen of a machine type: mean relative latency and share of calls served. */
final class MachineTypeStatistics {
  final ExponentialMovingAverage latency;
  final ExponentialMovingAverage served;

  MachineTypeStatistics(double gain) {
    latency = new ExponentialMovingAverage(1, gain);
    served = new ExponentialMovingAverage(1, gain);
  }
}
