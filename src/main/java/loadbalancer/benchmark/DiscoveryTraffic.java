package loadbalancer.benchmark;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Counts the traffic of the fake discovery service in each second since its start. Confined to the
 * event loop of the service; other threads read snapshots.
 */
final class DiscoveryTraffic {

  /** What is counted. Bytes are payload bytes of TCP. The names, in lower case, are result keys. */
  enum Metric {
    CONNECTIONS,
    REQUESTS,
    EMPTY_ANSWERS,
    DELTAS,
    LISTS,
    BYTES_IN,
    BYTES_OUT
  }

  private static final double NANOS_PER_SECOND = 1e9;

  private final long startNanos = System.nanoTime();

  /** The counts of each second, indexed by the ordinal of the metric. */
  private final List<long[]> countsBySecond = new ArrayList<>();

  void count(Metric metric, long amount) {
    int second = (int) ((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    while (countsBySecond.size() <= second) {
      countsBySecond.add(new long[Metric.values().length]);
    }
    countsBySecond.get(second)[metric.ordinal()] += amount;
  }

  /** Returns a copy of all counts so far. */
  Snapshot snapshot() {
    return new Snapshot(
        (System.nanoTime() - startNanos) / NANOS_PER_SECOND,
        countsBySecond.stream().map(long[]::clone).toList());
  }

  /** The counts up to a time, in seconds since the start. */
  record Snapshot(double takenAtSeconds, List<long[]> countsBySecond) {

    /** Returns the count of a metric since the start. */
    long total(Metric metric) {
      return countsBySecond.stream().mapToLong(second -> second[metric.ordinal()]).sum();
    }

    /**
     * Returns the counts of a metric in each second since an earlier snapshot. The first second is
     * the one in which that snapshot was taken, without what it contains.
     */
    long[] since(Snapshot earlier, Metric metric) {
      int firstSecond = (int) earlier.takenAtSeconds;
      long[] counts = new long[Math.max(0, countsBySecond.size() - firstSecond)];
      for (int i = 0; i < counts.length; i++) {
        long alreadyCounted =
            firstSecond + i < earlier.countsBySecond.size()
                ? earlier.countsBySecond.get(firstSecond + i)[metric.ordinal()]
                : 0;
        counts[i] = countsBySecond.get(firstSecond + i)[metric.ordinal()] - alreadyCounted;
      }
      return counts;
    }

    /** Returns the highest count of a metric in one second since an earlier snapshot. */
    long peak(Snapshot earlier, Metric metric) {
      return Arrays.stream(since(earlier, metric)).max().orElse(0);
    }
  }
}
