package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * A histogram of the times from a change at discovery until a balancer has applied it, with a value
 * per change and balancer. Thread-safe.
 */
final class PropagationTimes {

  private static final long MAX_NANOS = 3_600_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double HIGH_PERCENTILE = 99;
  private static final double NANOS_PER_MS = 1e6;

  private final Histogram histogram = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);

  /** The time of each recorded change by the version that contains it. */
  private final Map<Long, Long> changeNanos = new HashMap<>();

  /** Removes all times and all recorded changes. */
  synchronized void reset() {
    histogram.reset();
    changeNanos.clear();
  }

  /** Records that a version contains a change made at a time. */
  synchronized void recordChange(long version, long nowNanos) {
    changeNanos.put(version, nowNanos);
  }

  /** Measures all recorded changes from another time, such as the end of an outage. */
  synchronized void restart(long nowNanos) {
    changeNanos.replaceAll((version, earlierNanos) -> nowNanos);
  }

  /**
   * Records that a balancer has replaced one version by another, which applies the changes between
   * them.
   */
  synchronized void recordApplied(long previousVersion, long version, long nowNanos) {
    for (Map.Entry<Long, Long> change : changeNanos.entrySet()) {
      if (change.getKey() > previousVersion && change.getKey() <= version) {
        histogram.recordValue(Math.max(0, nowNanos - change.getValue()));
      }
    }
  }

  synchronized long count() {
    return histogram.getTotalCount();
  }

  /** Writes the number of times, and their median, 99th percentile and maximum. */
  synchronized void write(ObjectNode parent) {
    parent.put("takings", histogram.getTotalCount());
    if (histogram.getTotalCount() > 0) {
      parent.put(
          "median_ms",
          MeasuredPoint.rounded(histogram.getValueAtPercentile(MEDIAN_PERCENTILE) / NANOS_PER_MS));
      parent.put(
          "p99_ms",
          MeasuredPoint.rounded(histogram.getValueAtPercentile(HIGH_PERCENTILE) / NANOS_PER_MS));
      parent.put("last_ms", MeasuredPoint.rounded(histogram.getMaxValue() / NANOS_PER_MS));
    }
  }
}
