package loadbalancer.proxy.discovery;

import java.util.SplittableRandom;

/**
 * Decides for how long each watch call asks discovery to wait for an update, and how long this
 * instance awaits the response. Used on the event loop thread only.
 */
final class WatchTiming {

  /** The shortest wait is the longest one divided by this. */
  private static final int MAX_WAIT_DIVISOR = 2;

  /** How long after the end of the wait the response may still arrive. */
  private static final int RESPONSE_GRACE_MILLIS = 1_000;

  private final int maxWaitMillis;
  private final boolean explicitWatch;
  private final SplittableRandom random;

  /** Whether discovery has answered a watch, which confirms or replaces the configured list. */
  private boolean listConfirmed;

  /** Whether the last watch or fetch failed, so that the list may be outdated. */
  private boolean lastCallFailed;

  WatchTiming(int maxWaitMillis, boolean explicitWatch, long seed) {
    this.maxWaitMillis = maxWaitMillis;
    this.explicitWatch = explicitWatch;
    random = new SplittableRandom(seed);
  }

  /** Records that discovery has answered a watch, whether or not its response can be applied. */
  void watchAnswered() {
    listConfirmed = true;
  }

  /** Records the outcome of a watch or a fetch. */
  void callEnded(boolean failed) {
    lastCallFailed = failed;
  }

  boolean lastCallFailed() {
    return lastCallFailed;
  }

  /**
   * For how long the next watch asks discovery to wait for an update, in milliseconds. The time is
   * random, so that instances that start together don't call discovery at the same times. It is
   * zero if the list may be outdated: after a failure, and before the first response if this
   * instance counts as notified of updates that have not arrived, see {@link DiscoverySettings}.
   */
  int nextWaitMillis() {
    if (lastCallFailed || !(listConfirmed || explicitWatch)) {
      return 0;
    }
    return random.nextInt(maxWaitMillis / MAX_WAIT_DIVISOR, maxWaitMillis + 1);
  }

  /**
   * How long the response to a watch is awaited, in milliseconds. After a failure this is the
   * longest timeout even though discovery does not wait for an update: if it is overloaded, it
   * answers late, and an early repetition of the call would add to its load.
   */
  int watchTimeoutMillis(int waitMillis) {
    return (lastCallFailed ? maxWaitMillis : waitMillis) + RESPONSE_GRACE_MILLIS;
  }

  /** How long the response to a request for the full list is awaited, in milliseconds. */
  int fetchTimeoutMillis() {
    return maxWaitMillis + RESPONSE_GRACE_MILLIS;
  }
}
