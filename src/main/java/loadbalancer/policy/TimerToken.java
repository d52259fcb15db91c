package loadbalancer.policy;

/**
 * The tokens of {@link PolicyActions#scheduleTimer}: a request ID, and in the lowest eight bits the
 * purpose of its timer and the number of the attempt that it is for, 0 to 126.
 */
final class TimerToken {

  /** What a timer is for. */
  enum Kind {
    /** Begin the endpoint watch anew. */
    DISCOVERY_RETRY,
    /** Look at a queued request, or at the key that it holds, again. */
    QUEUE,
    /** An attempt is now late. */
    LATE_ATTEMPT,
    /** An attempt is now slow enough for a hedge. */
    HEDGE
  }

  static final long DISCOVERY_RETRY = -1;

  private static final int LOW_BITS = 8;
  private static final int LOW_MASK = 0xff;
  private static final int QUEUE_CODE = 0xff;
  private static final int LATE_ATTEMPT_FLAG = 0x80;

  private TimerToken() {}

  static long queue(long requestId) {
    return requestId << LOW_BITS | QUEUE_CODE;
  }

  static long lateAttempt(long requestId, int attempt) {
    return requestId << LOW_BITS | LATE_ATTEMPT_FLAG | attempt;
  }

  static long hedge(long requestId, int attempt) {
    return requestId << LOW_BITS | attempt;
  }

  static Kind kind(long token) {
    if (token == DISCOVERY_RETRY) {
      return Kind.DISCOVERY_RETRY;
    }
    int code = (int) (token & LOW_MASK);
    if (code == QUEUE_CODE) {
      return Kind.QUEUE;
    }
    return code >= LATE_ATTEMPT_FLAG ? Kind.LATE_ATTEMPT : Kind.HEDGE;
  }

  static long requestId(long token) {
    return token >>> LOW_BITS;
  }

  /** The attempt that a late-attempt or hedge timer is for. */
  static int attemptNumber(long token) {
    return (int) (token & ~LATE_ATTEMPT_FLAG & LOW_MASK);
  }
}
