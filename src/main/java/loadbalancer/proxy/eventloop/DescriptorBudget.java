package loadbalancer.proxy.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;
import java.util.function.DoublePredicate;

/**
 * Divides the file descriptors that the process may hold between connections of clients and those
 * to endpoints. A share is reserved for clients, as those in the accept backlog cannot be rejected,
 * and idle connections are closed when another connection needs their descriptor. Used on the event
 * loop thread only.
 */
public final class DescriptorBudget {

  /** For the virtual machine, the listening socket, discovery and one batch of new clients. */
  private static final int RESERVED_DESCRIPTORS = 64;

  /** One in this many connections is reserved for clients. */
  private static final int CLIENT_SHARE_DIVISOR = 5;

  /** A client that has been idle for longer is unlikely to send a request soon. */
  private static final double IDLE_CLIENT_MILLIS = 300;

  /** The number of connections that Netty accepts at once at most. */
  private static final int ACCEPT_BATCH = 16;

  /** At most one in this many connections is kept free for a batch. */
  private static final int SPARE_SHARE_DIVISOR = 10;

  private final int maxConnections;
  private int openConnections;
  private DoublePredicate evictClient = idleSinceMillis -> false;
  private BooleanSupplier evictUpstream = () -> false;

  /**
   * Creates the budget of a process.
   *
   * @param maxDescriptors how many descriptors the process may hold
   */
  public DescriptorBudget(int maxDescriptors) {
    maxConnections = Math.max(CLIENT_SHARE_DIVISOR, maxDescriptors - RESERVED_DESCRIPTORS);
  }

  /** Sets the action that closes one idle upstream connection and returns whether it did. */
  public void onEvictUpstream(BooleanSupplier evict) {
    evictUpstream = evict;
  }

  /**
   * Sets the action that closes one client connection that has been idle since before the given
   * time in milliseconds, and returns whether it did.
   */
  public void onEvictClient(DoublePredicate evict) {
    evictClient = evict;
  }

  /**
   * Whether a connection to an endpoint may be opened; closes an idle connection for it if needed.
   *
   * @param now the time in milliseconds
   */
  public boolean hasRoomForUpstream(double now) {
    return openConnections < maxConnections - maxConnections / CLIENT_SHARE_DIVISOR || evict(now);
  }

  /**
   * Whether one more client may be accepted; closes idle connections as needed to keep a batch
   * free, since clients are accepted several at a time.
   *
   * @param now the time in milliseconds
   */
  public boolean canAcceptClient(double now) {
    int spare = Math.min(ACCEPT_BATCH, maxConnections / SPARE_SHARE_DIVISOR);
    boolean evicted = true;
    while (evicted && openConnections >= maxConnections - spare) {
      evicted = evict(now);
    }
    return openConnections < maxConnections;
  }

  /**
   * Closes up to a batch of idle connections after the descriptors have run out in spite of the
   * budget.
   *
   * @param now the time in milliseconds
   */
  public void evictIdleConnections(double now) {
    boolean evicted = true;
    for (int i = 0; i < ACCEPT_BATCH && evicted; i++) {
      evicted = evict(now);
    }
  }

  /** Long idle clients go first: reconnecting costs them less than it costs an endpoint. */
  private boolean evict(double now) {
    return evictClient.test(now - IDLE_CLIENT_MILLIS)
        || evictUpstream.getAsBoolean()
        || evictClient.test(now);
  }

  /** Counts an open connection until it is closed. */
  public void track(Channel channel) {
    openConnections++;
    channel.closeFuture().addListener(closed -> openConnections--);
  }

  /**
   * Reads at once what the kernel holds for a channel: bytes, the end of the stream, or connections
   * in the accept backlog. The state of the channel is then as recent as it can be.
   */
  public static void readNow(Channel channel) {
    if (channel.isOpen()) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
  }
}
