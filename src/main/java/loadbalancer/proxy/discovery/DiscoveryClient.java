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
 * that brings no usable answer is reported once as {@link EndpointUpdateType#FAILED}, and the known
 * list stays in use; when to try again is the policy's decision. All methods are called on the
 * event loop.
 */
public final class DiscoveryClient {

  /**
   * The longest time a watch waits for an update, in milliseconds. A dead watch shows only when its
   * response is overdue, and the list grows stale until then.
   */
  public static final int MAX_WATCH_MILLIS = 2_000;

  /** In place of a version while no list of the present discovery is known. */
  private static final long NO_VERSION = -1;

  /** Receives the updates. */
  public interface Listener {

    /**
     * Applies an update. An exception counts as a failed call.
     *
     * @param type {@code FULL}, {@code DELTA} or {@code FAILED}
     * @param update the update; null if the call failed
     */
    void onUpdate(EndpointUpdateType type, EndpointListUpdate update);
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

  private InetSocketAddress address;

  /** The version of the list that was applied last, or {@link #NO_VERSION}. */
  private long version;

  private boolean watching;

  /** The watch call in progress; null if there is none. */
  private DiscoveryCall watchCall;

  /** The connection that the last watch left open for the next one; null if there is none. */
  private Channel idleConnection;

  /**
   * Creates a client that makes no call yet.
   *
   * @param freeDescriptors closes idle connections; called if no descriptor is left for a new one
   * @param maxWatchMillis the longest time a watch waits for an update, in milliseconds
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

  /** Creates a client whose connections the given transport opens. */
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
   * Begins or ends the watch. A watch call in progress is cancelled without a report. If the watch
   * begins anew, it uses a new connection, since a dead one cannot be told from one without
   * updates.
   */
  public void watch(boolean on) {
    watching = on;
    cancelWatchCall();
    if (on) {
      startWatchCall();
    }
  }

  /**
   * Moves to another discovery. The watch call in progress is cancelled without a report, and the
   * full list is requested: the versions of two discoveries are unrelated.
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
   * Handles at once what the kernel holds of the watch's response. Does nothing while a response is
   * being handled.
   */
  public void readPending() {
    if (watchCall != null && !transport.isDelivering()) {
      watchCall.readPending();
    }
  }

  /** Requests the full list once, over a connection of its own. */
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

  private DiscoveryCall newCall(String query, int timeoutMillis, DiscoveryCall.Listener report) {
    return new DiscoveryCall(transport, parser, address, query, timeoutMillis, report);
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
      // Changes are useless without the list that they belong to.
      reportFailure();
    }
    // After an unusable list the policy decides: discovery would send it again, at once.
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
    if (fetchAgainIfMoved(call)) {
      return;
    }
    if (update.full()) {
      apply(update);
    } else {
      reportFailure();
    }
  }

  private void onFetchFailed(DiscoveryCall call) {
    if (!fetchAgainIfMoved(call)) {
      reportFailure();
    }
  }

  /** Repeats a fetch whose discovery was replaced meanwhile: its list and version are void. */
  private boolean fetchAgainIfMoved(DiscoveryCall call) {
    if (call.address().equals(address)) {
      return false;
    }
    fetch();
    return true;
  }

  /**
   * Passes an update on. If the listener fails, how much of the update was applied is unknown, so
   * the next call requests the full list.
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
    // The listener may have begun a watch whose request failed at once.
    if (timing.lastCallFailed()) {
      reportFailure();
    }
  }

  private void reportFailure() {
    timing.callEnded(true);
    listener.onUpdate(EndpointUpdateType.FAILED, null);
  }
}
