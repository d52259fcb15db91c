package loadbalancer.proxy.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;

/**
 * Divides the file descriptors that the process may hold between connections from clients and
 * connections to endpoints. A share is reserved for clients: without a descriptor, a client in the
 * accept backlog cannot even be rejected. When another connection needs their descriptor, idle
 * connections are closed, and so are those of clients whose request is incomplete. Used on the
 * event loop thread only.
 */
public final class DescriptorBudget {

  /**
   * Descriptors for the virtual machine, the listening socket, the discovery connection and one
   * batch of new clients.
   */
  private static final int RESERVED_DESCRIPTORS = 64;

  /**
   * One in this many connections is reserved for clients. At least this many connections are always
   * allowed, so that one can be reserved.
   */
  private static final int CONNECTIONS_PER_CLIENT_RESERVATION = 5;

  /**
   * A client that has been idle for longer than this is unlikely to send a request soon, and one
   * that has stopped inside a request for longer is unlikely to complete it soon.
   */
  private static final double LONG_INACTIVE_CLIENT_MILLIS = 300;

  /** The maximum number of connections that Netty accepts in one pass. */
  private static final int ACCEPT_BATCH = 16;

  /** At most one in this many connections is kept free for a batch of new clients. */
  private static final int CONNECTIONS_PER_SPARE = 10;

  private final int maxConnections;
  private int openConnections;
  private long idleClientEvictions;
  private long partialRequestEvictions;
  private long upstreamEvictions;
  private ClientEvictor clientEvictor;
  private BooleanSupplier evictUpstream = () -> false;

  /**
   * Creates the budget of a process.
   *
   * @param maxDescriptors how many descriptors the process may hold
   */
  public DescriptorBudget(int maxDescriptors) {
    maxConnections =
        Math.max(CONNECTIONS_PER_CLIENT_RESERVATION, maxDescriptors - RESERVED_DESCRIPTORS);
  }

  /** Sets the action that closes one idle upstream connection and returns whether it did. */
  public void onEvictUpstream(BooleanSupplier evict) {
    evictUpstream = evict;
  }

  /** Sets the object that closes client connections. */
  public void onEvictClient(ClientEvictor evictor) {
    clientEvictor = evictor;
  }

  /**
   * Whether a connection to an endpoint may be opened. Closes another connection if that is needed
   * to make room.
   *
   * @param now the time in milliseconds
   */
  public boolean hasRoomForUpstream(double now) {
    return openConnections < maxConnections - maxConnections / CONNECTIONS_PER_CLIENT_RESERVATION
        || evict(now);
  }

  /**
   * Whether one more client may be accepted. Closes other connections as needed to keep the
   * descriptors of a whole batch free, since Netty accepts several clients in one pass.
   *
   * @param now the time in milliseconds
   */
  public boolean canAcceptClient(double now) {
    int spare = Math.min(ACCEPT_BATCH, maxConnections / CONNECTIONS_PER_SPARE);
    boolean evicted = true;
    while (evicted && openConnections >= maxConnections - spare) {
      evicted = evict(now);
    }
    return openConnections < maxConnections;
  }

  /**
   * Closes up to {@link #ACCEPT_BATCH} connections, after the process has run out of descriptors
   * despite the budget.
   *
   * @param now the time in milliseconds
   */
  public void evictConnections(double now) {
    boolean evicted = true;
    for (int i = 0; i < ACCEPT_BATCH && evicted; i++) {
      evicted = evict(now);
    }
  }

  /**
   * Closes one connection that serves no complete request and returns whether there was one.
   * Clients that have been inactive for long come first, then connections to endpoints, then other
   * inactive clients: reconnecting costs a client less than it costs an endpoint.
   */
  private boolean evict(double now) {
    double longInactiveSinceMillis = now - LONG_INACTIVE_CLIENT_MILLIS;
    return count(clientEvictor.evictIdle(longInactiveSinceMillis))
        || count(clientEvictor.evictInactive(longInactiveSinceMillis))
        || evictUpstream()
        || count(clientEvictor.evictInactive(now));
  }

  /** Counts the eviction of a client and returns whether there was one. */
  private boolean count(ClientEvictor.Eviction eviction) {
    idleClientEvictions += eviction == ClientEvictor.Eviction.IDLE ? 1 : 0;
    partialRequestEvictions += eviction == ClientEvictor.Eviction.PARTIAL_REQUEST ? 1 : 0;
    return eviction != ClientEvictor.Eviction.NONE;
  }

  private boolean evictUpstream() {
    boolean evicted = evictUpstream.getAsBoolean();
    upstreamEvictions += evicted ? 1 : 0;
    return evicted;
  }

  /** The number of connections that count against the budget now. */
  int openConnections() {
    return openConnections;
  }

  /** The number of connections that may be open. */
  int maxConnections() {
    return maxConnections;
  }

  /** How often an idle client connection has been closed to make room for another connection. */
  long idleClientEvictions() {
    return idleClientEvictions;
  }

  /** How often a request received in part has been rejected to make room for a connection. */
  long partialRequestEvictions() {
    return partialRequestEvictions;
  }

  /** How often a connection to an endpoint has been closed to make room for another connection. */
  long upstreamEvictions() {
    return upstreamEvictions;
  }

  /** Counts a connection against the budget until it is closed. */
  public void track(Channel channel) {
    openConnections++;
    channel.closeFuture().addListener(future -> openConnections--);
  }

  /**
   * Reads immediately what the kernel holds for a channel: bytes, the end of the stream, or
   * connections in the accept backlog. The channel then reflects the current state of its peer as
   * far as the kernel knows it.
   */
  public static void readNow(Channel channel) {
    if (channel.isOpen()) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
  }
}
