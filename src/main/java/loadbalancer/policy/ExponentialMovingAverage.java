package loadbalancer.policy;

/** An average whose gain falls from one half to a constant, so that the first samples count. */
final class ExponentialMovingAverage {

  private static final double FIRST_GAIN = 0.5;

  private final double minGain;
  private double value;
  private double gain = FIRST_GAIN;

  ExponentialMovingAverage(double initial, double minGain) {
    value = initial;
    this.minGain = minGain;
  }

  double value() {
    return value;
  }

  void add(double sample) {
    value += gain * (sample - value);
    gain = Math.max(minGain, gain / (1 + gain));
  }
}
