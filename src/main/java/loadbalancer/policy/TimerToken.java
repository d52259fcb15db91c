package loadbalancer.policy;

/**
 * Encodes the tokens of {@link PolicyActions#scheduleTimer}: the request ID, and in the lowest
 * eight bits the kind of the timer and the number of its attempt, 0 to 126. For a late-attempt
 * timer, 127 would give the bits of a queue timer.
 */
final class TimerToken {

  /** What a timer is for. */
  enum Kind {
    /** Restarts the watch of the endpoint list. */
    DISCOVERY_RETRY,
    /** Selects an endpoint for a queued request, or checks whether its key can be released. */
    QUEUE,
    /** Records an attempt that is still running as late, which is a sign of overload. */
    LATE_ATTEMPT,
    /** Hedges an attempt if it is still running, as it is now slow. */
    HEDGE
  }

  /** Token of the discovery timer, which belongs to no request. */
  static final long DISCOVERY_RETRY = -1;

  /** Number of low bits, which hold the kind and the attempt number. */
  private static final int KIND_BITS = 8;

  private static final int KIND_MASK = 0xff;
  private static final int QUEUE_KIND = 0xff;
  private static final int LATE_ATTEMPT_FLAG = 0x80;

  private TimerToken() {}

  static long queue(long requestId) {
    return requestId << KIND_BITS | QUEUE_KIND;
  }

  static long lateAttempt(long requestId, int attemptNumber) {
    return requestId << KIND_BITS | LATE_ATTEMPT_FLAG | attemptNumber;
  }

  static long hedge(long requestId, int attemptNumber) {
    return requestId << KIND_BITS | attemptNumber;
  }

  static Kind kind(long token) {
    if (token == DISCOVERY_RETRY) {
      return Kind.DISCOVERY_RETRY;
    }
    int kindBits = (int) (token & KIND_MASK);
    if (kindBits == QUEUE_KIND) {
      return Kind.QUEUE;
    }
    return kindBits >= LATE_ATTEMPT_FLAG ? Kind.LATE_ATTEMPT : Kind.HEDGE;
  }

  static long requestId(long token) {
    return token >>> KIND_BITS;
  }

  /** The number of the attempt that a late-attempt or hedge timer is for. */
  static int attemptNumber(long token) {
    return (int) (token & ~LATE_ATTEMPT_FLAG & KIND_MASK);
  }
}
