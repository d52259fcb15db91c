package loadbalancer.benchmark;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What discovery has had to bear, in each second since its start. Of one thread: the stand-in's
 * loop counts and takes the copies that others read.
 */
final class Traffic {

  /**
   * What is counted. An answer is empty, a delta with entries, or a whole list; bytes are those of
   * TCP.
   */
  enum Kind {
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

  void count(Kind kind, long amount) {
    int second = (int) ((System.nanoTime() - startedAt) / NANOS);
    while (seconds.size() <= second) {
      seconds.add(new long[Kind.values().length]);
    }
    seconds.get(second)[kind.ordinal()] += amount;
  }

  /** All of it until now. */
  Copy copy() {
    return new Copy(
        (System.nanoTime() - startedAt) / NANOS, seconds.stream().map(long[]::clone).toList());
  }

  /** A copy at a time in seconds since the start. */
  record Copy(double at, List<long[]> seconds) {

    long total(Kind kind) {
      return seconds.stream().mapToLong(second -> second[kind.ordinal()]).sum();
    }

    /** The counts of each second from that of the earlier copy on. */
    long[] since(Copy before, Kind kind) {
      int from = (int) before.at;
      long[] each = new long[Math.max(0, seconds.size() - from)];
      for (int i = 0; i < each.length; i++) {
        long earlier =
            from + i < before.seconds.size() ? before.seconds.get(from + i)[kind.ordinal()] : 0;
        each[i] = seconds.get(from + i)[kind.ordinal()] - earlier;
      }
      return each;
    }

    long peak(Copy before, Kind kind) {
      return Arrays.stream(since(before, kind)).max().orElse(0);
    }
  }
}
