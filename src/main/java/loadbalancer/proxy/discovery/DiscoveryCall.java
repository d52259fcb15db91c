package loadbalancer.proxy.discovery;

import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.json.JsonReader;
import loadbalancer.proxy.logging.ProxyLogger;

/**
 * One HTTP call to discovery, for an endpoint list or an update of it. The listener is notified of
 * its outcome exactly once, or never if the call is cancelled. Used on the event loop thread only.
 */
final class DiscoveryCall {

  private static final String ENDPOINT_LIST_PATH = "/catalog/members";

  /** Receives the outcome of a call. */
  interface Listener {

    /** Called when discovery has sent a well-formed update. */
    void onAnswered(DiscoveryCall call, EndpointListUpdate update);

    /** Called when no usable response came; the call's connection is closed. */
    void onFailed(DiscoveryCall call);
  }

  private enum State {
    /** The request is not written yet. */
    CONNECTING,
    /** The request is written and the timeout runs. */
    AWAITING_RESPONSE,
    /** Answered, failed or cancelled; later events are ignored. */
    ENDED
  }

  private final DiscoveryTransport transport;
  private final EndpointListParser parser;
  private final InetSocketAddress address;
  private final String query;
  private final int timeoutMillis;
  private final Listener listener;
  private State state = State.CONNECTING;
  private Channel channel;
  private Future<?> timeout;

  /**
   * Creates a call that is not started.
   *
   * @param query the query of the URI with its question mark; empty to request the full list
   * @param timeoutMillis how long the complete response is awaited after the request is written
   */
  DiscoveryCall(
      DiscoveryTransport transport,
      EndpointListParser parser,
      InetSocketAddress address,
      String query,
      int timeoutMillis,
      Listener listener) {
    this.transport = transport;
    this.parser = parser;
    this.address = address;
    this.query = query;
    this.timeoutMillis = timeoutMillis;
    this.listener = listener;
  }

  /** The address of discovery to which this call is made. */
  InetSocketAddress address() {
    return address;
  }

  /** The connection of this call; null until its connect has ended. */
  Channel channel() {
    return channel;
  }

  /** Sends the request over an idle connection, or over a new one if that is null or closed. */
  void start(Channel idleConnection) {
    if (idleConnection != null && idleConnection.isActive()) {
      sendRequest(idleConnection);
      return;
    }
    ChannelFuture connectFuture = transport.connect(address);
    if (connectFuture.cause() instanceof ChannelException) {
      // The process has no descriptor left for the socket. The channel is not registered with the
      // event loop, so a listener of this future would not be called on its thread.
      transport.freeDescriptors();
      transport.execute(this::fail);
      return;
    }
    connectFuture.addListener((ChannelFuture ended) -> onConnectEnded(ended));
  }

  private void onConnectEnded(ChannelFuture connectFuture) {
    channel = connectFuture.channel();
    if (state == State.ENDED) {
      channel.close();
    } else if (connectFuture.isSuccess()) {
      sendRequest(channel);
    } else {
      fail();
    }
  }

  private void sendRequest(Channel connection) {
    channel = connection;
    state = State.AWAITING_RESPONSE;
    timeout = transport.schedule(this::fail, timeoutMillis);
    channel.pipeline().get(DiscoveryResponseHandler.class).expectResponse(this);
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.GET,
            ENDPOINT_LIST_PATH + query,
            Unpooled.EMPTY_BUFFER);
    request.headers().set("Host", address.getHostString());
    channel
        .writeAndFlush(request)
        .addListener(
            writeResult -> {
              if (!writeResult.isSuccess()) {
                fail();
              }
            });
  }

  /** Reads and handles what the kernel has received of the response. */
  void readPending() {
    if (state == State.AWAITING_RESPONSE) {
      DescriptorBudget.readNow(channel);
    }
  }

  /** Ends the call without notifying the listener, and closes its connection. */
  void cancel() {
    state = State.ENDED;
    if (timeout != null) {
      timeout.cancel(false);
    }
    if (channel != null) {
      channel.close();
    }
  }

  /** Ends the call with a failure; has no effect if it has ended already. */
  void fail() {
    if (state != State.ENDED) {
      cancel();
      listener.onFailed(this);
    }
  }

  /** Called with the complete response. If it is invalid, the call fails. */
  void onResponse(FullHttpResponse response) {
    if (state == State.ENDED) {
      return;
    }
    EndpointListUpdate update;
    try {
      update = parse(response);
    } catch (IOException | IllegalArgumentException e) {
      ProxyLogger.LOGGER.warning("discovery response rejected: error=" + e.getMessage());
      fail();
      return;
    }
    state = State.ENDED;
    timeout.cancel(false);
    listener.onAnswered(this, update);
  }

  private EndpointListUpdate parse(FullHttpResponse response) throws IOException {
    if (!response.decoderResult().isSuccess()) {
      throw new IOException("malformed HTTP: " + response.decoderResult().cause());
    }
    if (response.status().code() != HttpResponseStatus.OK.code()) {
      throw new IOException("status " + response.status().code() + ", expected 200");
    }
    try (InputStream body = new ByteBufInputStream(response.content())) {
      return parser.parse(JsonReader.read(body));
    }
  }
}
