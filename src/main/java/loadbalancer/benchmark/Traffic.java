package loadbalancer.benchmark;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The load on discovery in each second since its start. Confined to the stand-in's event loop;
 * other threads read snapshots.
 */
final class Traffic {

  /** What is counted; bytes are those of TCP. The names are keys of the output. */
  enum Metric {
    CONNECTIONS,
    REQUESTS,
    EMPTY_ANSWERS,
    DELTAS,
    LISTS,
    BYTES_IN,
    BYTES_OUT
  }

  private static final double NANOS = 1e9;

  private final long startedAt = System.nanoTime();
  private final List<long[]> seconds = new ArrayList<>();

  void count(Metric kind, long amount) {
    int second = (int) ((System.nanoTime() - startedAt) / NANOS);
    while (seconds.size() <= second) {
      seconds.add(new long[Metric.values().length]);
    }
    seconds.get(second)[kind.ordinal()] += amount;
  }

  /** All counts so far. */
  Snapshot snapshot() {
    return new Snapshot(
        (System.nanoTime() - startedAt) / NANOS, seconds.stream().map(long[]::clone).toList());
  }

  /** The counts at a time in seconds since the start. */
  record Snapshot(double at, List<long[]> seconds) {

    long total(Metric kind) {
      return seconds.stream().mapToLong(second -> second[kind.ordinal()]).sum();
    }

    /** The counts of each second from that of the earlier snapshot on. */
    long[] since(Snapshot before, Metric kind) {
      int from = (int) before.at;
      long[] each = new long[Math.max(0, seconds.size() - from)];
      for (int i = 0; i < each.length; i++) {
        long earlier =
            from + i < before.seconds.size() ? before.seconds.get(from + i)[kind.ordinal()] : 0;
        each[i] = seconds.get(from + i)[kind.ordinal()] - earlier;
      }
      return each;
    }

    long peak(Snapshot before, Metric kind) {
      return Arrays.stream(since(before, kind)).max().orElse(0);
    }
  }
}
