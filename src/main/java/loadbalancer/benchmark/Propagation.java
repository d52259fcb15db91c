package loadbalancer.benchmark;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The times from a change at discovery to its being taken in, one for each change and balancer. */
final class Propagation {

  private static final long LONGEST_NANOS = 3_600_000_000_000L;
  private static final int DIGITS = 3;
  private static final double MEDIAN = 50;
  private static final double HIGH = 99;
  private static final double NANOS_PER_MS = 1e6;

  private final Histogram histogram = new Histogram(LONGEST_NANOS, DIGITS);
  private final Map<Long, Long> changedAt = new HashMap<>();

  /** Forgets all that was; only changes from now on count. */
  synchronized void begin() {
    histogram.reset();
    changedAt.clear();
  }

  synchronized void changed(long version, long nanos) {
    changedAt.put(version, nanos);
  }

  /** What changed while discovery could not be reached counts from its return. */
  synchronized void restamp(long nanos) {
    changedAt.replaceAll((version, at) -> nanos);
  }

  /** A balancer that had the one version has the other now. */
  synchronized void taken(long before, long version, long nanos) {
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
      to.put("median_ms", Point.rounded(histogram.getValueAtPercentile(MEDIAN) / NANOS_PER_MS));
      to.put("p99_ms", Point.rounded(histogram.getValueAtPercentile(HIGH) / NANOS_PER_MS));
      to.put("last_ms", Point.rounded(histogram.getMaxValue() / NANOS_PER_MS));
    }
  }
}
