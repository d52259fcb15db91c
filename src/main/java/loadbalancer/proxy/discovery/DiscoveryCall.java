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

/** One HTTP call to discovery. Its outcome is reported once, unless it is cancelled before. */
final class DiscoveryCall {

  private static final String ENDPOINT_LIST_PATH = "/catalog/members";

  /** What a call reports to. */
  interface Listener {

    /** Discovery answered with a well-formed update. */
    void onAnswered(DiscoveryCall call, EndpointListUpdate update);

    /** No usable answer came; the call's connection is closed. */
    void onFailed(DiscoveryCall call);
  }

  private enum State {
    /** No request was written yet. */
    CONNECTING,
    /** The request is written and the timeout runs. */
    AWAITING_RESPONSE,
    /** Answered, failed or cancelled; whatever arrives later is ignored. */
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
   * Prepares a call.
   *
   * @param query the query part of the URI with its question mark, or nothing
   * @param timeoutMillis how long after the request is written the response must be complete
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

  /** Where this call goes. */
  InetSocketAddress address() {
    return address;
  }

  /** The connection of this call; null until it is established. */
  Channel channel() {
    return channel;
  }

  /** Sends the request over an open connection, or over a new one if it is null or closed. */
  void start(Channel connection) {
    if (connection != null && connection.isActive()) {
      sendRequest(connection);
      return;
    }
    ChannelFuture connect = transport.connect(address);
    if (connect.cause() instanceof ChannelException) {
      // No socket could be created for want of a descriptor, so the future belongs to no loop.
      transport.freeDescriptors();
      transport.execute(this::fail);
      return;
    }
    connect.addListener((ChannelFuture connected) -> onConnected(connected));
  }

  private void onConnected(ChannelFuture connected) {
    channel = connected.channel();
    if (state == State.ENDED) {
      channel.close();
    } else if (connected.isSuccess()) {
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
            write -> {
              if (!write.isSuccess()) {
                fail();
              }
            });
  }

  /** Handles at once what the kernel holds of the response. */
  void readPending() {
    if (state == State.AWAITING_RESPONSE) {
      DescriptorBudget.readNow(channel);
    }
  }

  /** Ends the call without a report and closes its connection. */
  void cancel() {
    state = State.ENDED;
    if (timeout != null) {
      timeout.cancel(false);
    }
    if (channel != null) {
      channel.close();
    }
  }

  /** Ends the call with a failure, unless it has ended. */
  void fail() {
    if (state != State.ENDED) {
      cancel();
      listener.onFailed(this);
    }
  }

  /** Takes the response; a malformed one is a failure. */
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
