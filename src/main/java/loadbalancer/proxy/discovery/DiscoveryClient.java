package loadbalancer.proxy.discovery;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.logging.Level;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.proxy.logging.ProxyLogger;

/**
 * Watches discovery for updates of the endpoint list, and fetches the full list on demand. A call
 * without a usable response is reported as {@link EndpointUpdateType#FAILED}, and the list that was
 * applied last stays in use. When to call again is the policy's decision. Used on the event loop
 * thread only.
 */
public final class DiscoveryClient {

  /**
   * The longest time for which a watch asks discovery to wait for an update, in milliseconds. A
   * dead connection is detected only once the response is overdue. Until then the endpoint list
   * grows stale, although this instance may already count as notified of the updates that it
   * misses; see {@link DiscoverySettings}.
   */
  public static final int MAX_WATCH_MILLIS = 2_000;

  /**
   * The version while no list of the discovery at the current address has been applied, or the last
   * update may have been applied only in part.
   */
  private static final long NO_VERSION = -1;

  /** Receives the updates of the endpoint list. */
  public interface Listener {

    /**
     * Applies an update, or handles a failed call. If this throws an exception for an update, the
     * call counts as failed.
     *
     * @param updateType {@code FULL}, {@code DELTA} or {@code FAILED}
     * @param update the update; null if the call failed
     */
    void onUpdate(EndpointUpdateType updateType, EndpointListUpdate update);
  }

  private final DiscoveryTransport transport;
  private final EndpointListParser parser;
  private final Listener listener;
  private final WatchTiming timing;
  private final DiscoveryCall.Listener watchListener =
      new DiscoveryCall.Listener() {
        @Override
        public void onAnswered(DiscoveryCall call, EndpointListUpdate update) {
          onWatchAnswered(call, update);
        }

        @Override
        public void onFailed(DiscoveryCall call) {
          onWatchFailed();
        }
      };
  private final DiscoveryCall.Listener fetchListener =
      new DiscoveryCall.Listener() {
        @Override
        public void onAnswered(DiscoveryCall call, EndpointListUpdate update) {
          onFetchAnswered(call, update);
        }

        @Override
        public void onFailed(DiscoveryCall call) {
          onFetchFailed(call);
        }
      };

  /** The current address of discovery. */
  private InetSocketAddress address;

  /** The version of the list that was applied last, or {@link #NO_VERSION}. */
  private long version;

  /** Whether the watch was started and not stopped. After a failed call it has to be restarted. */
  private boolean watching;

  /** The watch call in progress; null if there is none. */
  private DiscoveryCall watchCall;

  /** The connection of the last answered watch call, for the next one; null if there is none. */
  private Channel idleConnection;

  /**
   * Creates a client that makes no call yet.
   *
   * @param freeDescriptors closes idle connections; called if no descriptor is left for a new one
   * @param maxWatchMillis the longest time for which a watch asks discovery to wait for an update
   */
  public DiscoveryClient(
      EventLoop loop,
      DiscoverySettings settings,
      ByteBufAllocator allocator,
      Listener listener,
      Runnable freeDescriptors,
      int maxWatchMillis) {
    this(
        settings,
        new DiscoveryTransport(loop, allocator, NioSocketChannel::new, freeDescriptors),
        listener,
        maxWatchMillis);
  }

  /** Creates a client that uses the given transport. */
  DiscoveryClient(
      DiscoverySettings settings,
      DiscoveryTransport transport,
      Listener listener,
      int maxWatchMillis) {
    this.transport = transport;
    this.listener = listener;
    parser = new EndpointListParser(settings.zones(), settings.machineTypes());
    timing = new WatchTiming(maxWatchMillis, settings.explicitWatch(), settings.seed());
    address = settings.address();
    version = settings.knownVersion();
  }

  /**
   * Starts, restarts or stops the watch. A watch call in progress is cancelled without being
   * reported as failed, and its connection is closed: while no update arrives, a dead connection
   * cannot be distinguished from a working one.
   */
  public void watch(boolean enabled) {
    watching = enabled;
    cancelWatchCall();
    if (enabled) {
      startWatchCall();
    }
  }

  /**
   * Switches to the discovery at another address. A watch call in progress is cancelled without
   * being reported as failed. The next watch call requests the full list, since the list versions
   * of two discovery servers are unrelated.
   */
  public void switchTo(InetSocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    version = NO_VERSION;
    cancelWatchCall();
    if (idleConnection != null) {
      idleConnection.close();
      idleConnection = null;
    }
    if (watching) {
      startWatchCall();
    }
  }

  /**
   * Reads and handles what the kernel has received of the response to the watch call. Has no effect
   * while a response is being handled.
   */
  public void readPending() {
    if (watchCall != null && !transport.isHandlingResponse()) {
      watchCall.readPending();
    }
  }

  /** Requests the full list once, over a separate connection. */
  public void fetch() {
    newCall("", timing.fetchTimeoutMillis(), fetchListener).start(null);
  }

  private void startWatchCall() {
    int waitMillis = timing.nextWaitMillis();
    watchCall =
        version == NO_VERSION
            ? newCall("", timing.fetchTimeoutMillis(), watchListener)
            : newCall(
                "?index=" + version + "&wait=" + waitMillis,
                timing.watchTimeoutMillis(waitMillis),
                watchListener);
    watchCall.start(idleConnection);
  }

  private DiscoveryCall newCall(
      String query, int timeoutMillis, DiscoveryCall.Listener callListener) {
    return new DiscoveryCall(transport, parser, address, query, timeoutMillis, callListener);
  }

  private void cancelWatchCall() {
    if (watchCall != null) {
      watchCall.cancel();
      watchCall = null;
    }
  }

  private void onWatchAnswered(DiscoveryCall call, EndpointListUpdate update) {
    idleConnection = call.channel();
    watchCall = null;
    timing.watchAnswered();
    if (update.full() || version != NO_VERSION) {
      apply(update);
    } else {
      // An incremental update can't be applied without the list that it changes.
      reportFailure();
    }
    // After a failure the policy decides when to watch again. An immediate call would only bring
    // the same unusable update.
    if (watching && watchCall == null && !timing.lastCallFailed()) {
      startWatchCall();
    }
  }

  private void onWatchFailed() {
    idleConnection = null;
    watchCall = null;
    reportFailure();
  }

  private void onFetchAnswered(DiscoveryCall call, EndpointListUpdate update) {
    call.channel().close();
    if (fetchAgainIfAddressChanged(call)) {
      return;
    }
    if (update.full()) {
      apply(update);
    } else {
      reportFailure();
    }
  }

  private void onFetchFailed(DiscoveryCall call) {
    if (!fetchAgainIfAddressChanged(call)) {
      reportFailure();
    }
  }

  /**
   * Repeats a fetch if the address of discovery has changed since it was started: its list and its
   * version are those of the former discovery. Returns whether it did.
   */
  private boolean fetchAgainIfAddressChanged(DiscoveryCall call) {
    if (call.address().equals(address)) {
      return false;
    }
    fetch();
    return true;
  }

  /**
   * Passes an update to the listener. If the listener throws an exception, that is logged as
   * "endpoint list update could not be applied" with its stack trace. It is then unknown how much
   * of the update was applied, so the next watch call requests the full list.
   */
  private void apply(EndpointListUpdate update) {
    timing.callEnded(false);
    try {
      listener.onUpdate(update.full() ? EndpointUpdateType.FULL : EndpointUpdateType.DELTA, update);
      version = update.version();
    } catch (RuntimeException e) {
      ProxyLogger.LOGGER.log(Level.SEVERE, "endpoint list update could not be applied", e);
      version = NO_VERSION;
      timing.callEnded(true);
    }
    // Also true if the listener restarted the watch and writing the request failed at once.
    if (timing.lastCallFailed()) {
      reportFailure();
    }
  }

  private void reportFailure() {
    timing.callEnded(true);
    listener.onUpdate(EndpointUpdateType.FAILED, null);
  }
}
