package loadbalancer.policy;

/**
 * An exponential moving average. Its gain falls from one half to a constant minimum, so that the
 * first few samples have more weight and the initial value has less.
 */
final class ExponentialMovingAverage {

  private static final double INITIAL_GAIN = 0.5;

  private final double minGain;
  private double value;
  private double gain = INITIAL_GAIN;

  ExponentialMovingAverage(double initialValue, double minGain) {
    value = initialValue;
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
