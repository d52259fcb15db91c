package loadbalancer.proxy.upstream;

/**
 * How long a kept connection may have rested and still be trusted with a request. Its other end may
 * have given it up with no sign, or with one that is still on its way: what is written then is a
 * reset, and may have run. Guards against upstreams, and all between, that forget connections
 * sooner than they say. A stray break tells nothing of the rest before it, as connections break
 * under requests for other causes too, and to open new ones costs upstreams work each time: only
 * where many break at once is the rest held to blame.
 */
final class IdleConnectionTrust {

  /**
   * A rest that needs no trust: about what a batch of calls one after another leaves between them.
   */
  static final double FRESH_MILLIS = 50;

  /** A reset later than this after the write has befallen the request and not the connection. */
  static final double IMMEDIATE_RESET_MILLIS = 50;

  /** Growth of the trust in a second without a break: back to ten times after some ten seconds. */
  private static final double RECOVERY = 1.25;

  /**
   * Weight of one use in the share of rested connections that broke, and what a second leaves of
   * it.
   */
  private static final double GAIN = 0.1;

  private static final double KEPT = 0.9;

  /**
   * The share above which the rest is to blame, and the one above which a request may be lost by
   * it.
   */
  private static final double USUAL = 0.25;

  private static final double SEEN = 0.01;

  private final double longest;
  private final double young;
  private double trusted;
  private double breaks;

  IdleConnectionTrust(double longest, double young) {
    this.longest = longest;
    this.young = young;
    trusted = longest;
  }

  /**
   * Whether a connection that has rested for so long may carry a request. While some break, one
   * that must not be sent again, and would be lost with its connection, gets one that is young.
   */
  boolean trusts(double rested, boolean resendable) {
    return rested <= (resendable || breaks < SEEN ? trusted : Math.min(young, trusted));
  }

  /**
   * A connection broke under a request as soon as it had been written, after resting for so long.
   */
  void recordReset(double rested) {
    breaks += GAIN * (1 - breaks);
    if (breaks > USUAL) {
      trusted = Math.max(young, Math.min(trusted, rested / 2));
    }
  }

  /** A connection that had rested for so long brought an answer. */
  void recordSuccess(double rested) {
    if (rested > young) {
      breaks -= GAIN * breaks;
    }
  }

  /** A second has passed. */
  void recover() {
    trusted = Math.min(longest, trusted * RECOVERY);
    breaks *= KEPT;
  }
}
