package loadbalancer.proxy.discovery;

import java.util.SplittableRandom;

/**
 * Decides how long each watch call waits at discovery for an update, and how long its response is
 * awaited. Not thread-safe.
 */
final class WatchTiming {

  /** The shortest wait is the longest one divided by this. */
  private static final int MIN_WAIT_DIVISOR = 2;

  /** Time for the response to arrive after the wait is over. */
  private static final int RESPONSE_GRACE_MILLIS = 1_000;

  private final int maxWaitMillis;
  private final boolean explicitWatch;
  private final SplittableRandom random;

  /** Whether any watch was answered, so that the known list is confirmed by discovery. */
  private boolean listConfirmed;

  /** Whether the last call failed, so that the list may be stale. */
  private boolean lastCallFailed;

  WatchTiming(int maxWaitMillis, boolean explicitWatch, long seed) {
    this.maxWaitMillis = maxWaitMillis;
    this.explicitWatch = explicitWatch;
    random = new SplittableRandom(seed);
  }

  /** Records that discovery answered a watch, usable or not. */
  void watchAnswered() {
    listConfirmed = true;
  }

  /** Records whether the last call, watch or fetch, brought an update that was applied. */
  void callEnded(boolean failed) {
    lastCallFailed = failed;
  }

  boolean lastCallFailed() {
    return lastCallFailed;
  }

  /**
   * How long the next watch waits at discovery, in milliseconds: a random time, so that instances
   * that start together do not poll in step, or zero if the list may be stale. That is the case
   * after a failure, and before the first response where updates count as notified without a watch.
   */
  int nextWaitMillis() {
    if (lastCallFailed || !(listConfirmed || explicitWatch)) {
      return 0;
    }
    return random.nextInt(maxWaitMillis / MIN_WAIT_DIVISOR, maxWaitMillis + 1);
  }

  /**
   * How long the response to a watch is awaited, in milliseconds. After a failure it is the full
   * time even though the watch does not wait: a discovery under load answers late, and polling
   * again early would add to its load.
   */
  int watchTimeoutMillis(int waitMillis) {
    return (lastCallFailed ? maxWaitMillis : waitMillis) + RESPONSE_GRACE_MILLIS;
  }

  /** How long the response to a call for the full list is awaited, in milliseconds. */
  int fetchTimeoutMillis() {
    return maxWaitMillis + RESPONSE_GRACE_MILLIS;
  }
}
