package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Times from a change at discovery until a balancer applies it, per change and balancer. */
final class Propagation {

  private static final long MAX_NANOS = 3_600_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double HIGH_PERCENTILE = 99;
  private static final double NANOS_PER_MS = 1e6;

  private final Histogram histogram = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
  private final Map<Long, Long> changedAt = new HashMap<>();

  /** Counts only changes from now on. */
  synchronized void reset() {
    histogram.reset();
    changedAt.clear();
  }

  synchronized void recordChange(long version, long nanos) {
    changedAt.put(version, nanos);
  }

  /** Measures the recorded changes from another time: the end of an outage. */
  synchronized void restart(long nanos) {
    changedAt.replaceAll((version, at) -> nanos);
  }

  /** A balancer has gone from one version to another. */
  synchronized void recordApplied(long before, long version, long nanos) {
    for (Map.Entry<Long, Long> change : changedAt.entrySet()) {
      if (change.getKey() > before && change.getKey() <= version) {
        histogram.recordValue(Math.max(0, nanos - change.getValue()));
      }
    }
  }

  synchronized long count() {
    return histogram.getTotalCount();
  }

  synchronized void write(ObjectNode to) {
    to.put("takings", histogram.getTotalCount());
    if (histogram.getTotalCount() > 0) {
      to.put(
          "median_ms",
          Point.rounded(histogram.getValueAtPercentile(MEDIAN_PERCENTILE) / NANOS_PER_MS));
      to.put(
          "p99_ms", Point.rounded(histogram.getValueAtPercentile(HIGH_PERCENTILE) / NANOS_PER_MS));
      to.put("last_ms", Point.rounded(histogram.getMaxValue() / NANOS_PER_MS));
    }
  }
}
