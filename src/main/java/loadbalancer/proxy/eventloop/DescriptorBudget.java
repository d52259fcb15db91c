package loadbalancer.proxy.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;
import java.util.function.DoublePredicate;

/**
 * Counts the process's connections against the descriptors that it may hold. A caller that waits in
 * the backlog already counts as taken, so calls to upstreams leave room for callers, and an idle
 * connection gives way to whoever needs its descriptor.
 */
public final class DescriptorBudget {

  /**
   * Descriptors of the virtual machine, the listening socket and discovery, and callers let in at
   * once.
   */
  private static final int OF_THE_PROCESS = 64;

  /** The part of the rest that only callers may use. */
  private static final int CALLERS_SHARE = 5;

  /** A caller that has been idle for so long (ms) is hardly about to send. */
  private static final double RESTING_MS = 300;

  /**
   * Callers that are accepted at once at most, and the part of all connections kept free for them.
   */
  private static final int BATCH = 16;

  private static final int SPARE_SHARE = 10;

  private final int limit;
  private int open;
  private DoublePredicate evictCaller = before -> false;
  private BooleanSupplier evictUpstream = () -> false;

  public DescriptorBudget(int descriptors) {
    limit = Math.max(CALLERS_SHARE, descriptors - OF_THE_PROCESS);
  }

  /** Names what closes one idle upstream connection and tells whether there was one. */
  public void onEvictUpstream(BooleanSupplier evict) {
    evictUpstream = evict;
  }

  /** Names what closes one caller's connection that was idle before a time; likewise. */
  public void onEvictClient(DoublePredicate evict) {
    evictCaller = evict;
  }

  /**
   * Whether a connection to an upstream may be opened, after an idle one has gone for it if need
   * be.
   */
  public boolean tryReserveForUpstream(double now) {
    return open < limit - limit / CALLERS_SHARE || evict(now);
  }

  /**
   * Whether one more caller may be let in, after idle connections have gone for a batch of them:
   * callers are accepted several at a time, and a crowd must not wait while others only rest here.
   */
  public boolean canAcceptClient(double now) {
    int spare = Math.min(BATCH, limit / SPARE_SHARE);
    boolean gone = true;
    while (gone && open >= limit - spare) {
      gone = evict(now);
    }
    return open < limit;
  }

  /** Closes idle connections where the descriptors have run out, although room was kept. */
  public void evictIdleConnections(double now) {
    boolean gone = true;
    for (int i = 0; i < BATCH && gone; i++) {
      gone = evict(now);
    }
  }

  /**
   * Resting callers go first: to come back costs them less than a new connection costs an upstream.
   */
  private boolean evict(double now) {
    return evictCaller.test(now - RESTING_MS)
        || evictUpstream.getAsBoolean()
        || evictCaller.test(now);
  }

  /** Counts a connection until it is closed. */
  public void track(Channel channel) {
    open++;
    channel.closeFuture().addListener(closed -> open--);
  }

  /**
   * Handles at once what the kernel holds for a channel: bytes, the peer's end of the stream,
   * callers in the backlog. What it says about a connection is then as fresh as can be.
   */
  public static void readNow(Channel channel) {
    if (channel.isOpen()) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
  }
}
