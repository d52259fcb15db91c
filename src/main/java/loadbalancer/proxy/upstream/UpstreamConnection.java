package loadbalancer.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.io.IOException;
import java.util.OptionalDouble;
import loadbalancer.proxy.discovery.EndpointListUpdate.Entry;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * The handler of one connection to an endpoint, which carries one attempt at a time and checks its
 * response. Confined to the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse>
    implements UpstreamResponseDecoder.Connection {

  private static final int MAX_INTERIM_RESPONSES = 16;

  private final Channel channel;
  private final ConnectionPool pool;
  private final UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(this);
  private final ResponseStallDetector stallDetector;

  /** When the connection last became idle; empty until it is first pooled. */
  private OptionalDouble idleSince = OptionalDouble.empty();

  /** The endpoint as it was when the connection was opened; null until it is established. */
  private Entry entry;

  /** The attempt that awaits its response; null if none does. */
  private UpstreamAttempt attempt;

  /** The endpoint that the connection was last used or pooled for; null before. */
  private UpstreamEndpoint endpoint;

  private int interimResponses;

  UpstreamConnection(Channel channel, ConnectionPool pool) {
    this.channel = channel;
    this.pool = pool;
    stallDetector = new ResponseStallDetector(channel.eventLoop(), this::protocolViolation);
  }

  void addToPipeline() {
    channel
        .pipeline()
        .addLast(
            decoder,
            new HttpRequestEncoder(),
            new HttpObjectAggregator(ProtocolHeaders.MAX_BODY_BYTES),
            this);
  }

  void established(Entry openedTo) {
    entry = openedTo;
  }

  Entry entry() {
    return entry;
  }

  /** Makes the connection await the response of an attempt. */
  void attach(UpstreamAttempt newAttempt, UpstreamEndpoint attemptEndpoint) {
    attempt = newAttempt;
    endpoint = attemptEndpoint;
    decoder.expectResponseStart();
    interimResponses = 0;
    stallDetector.requestStarted();
  }

  /** No attempt uses the connection any more. */
  void detach(UpstreamEndpoint home) {
    attempt = null;
    endpoint = home;
  }

  void markIdle(double now) {
    idleSince = OptionalDouble.of(now);
  }

  /** When the connection last became idle; only for one that is or was in the pool. */
  double idleSince() {
    return idleSince.getAsDouble();
  }

  /** How many milliseconds the connection has been idle; empty until it is first pooled. */
  OptionalDouble idleMillis(double now) {
    return idleSince.isPresent()
        ? OptionalDouble.of(now - idleSince.getAsDouble())
        : OptionalDouble.empty();
  }

  /**
   * Whether the connection is open after all that the kernel holds for it has been read. Guards
   * against writing to a connection that its endpoint has closed, which would count as run.
   */
  boolean isActiveAfterRead() {
    DescriptorBudget.readNow(channel);
    return channel.isActive();
  }

  void write(FullHttpRequest request, GenericFutureListener<Future<? super Void>> onWritten) {
    channel.writeAndFlush(request).addListener(onWritten);
  }

  void close() {
    channel.close();
  }

  @Override
  public boolean awaitsResponse() {
    return attempt != null;
  }

  @Override
  public void responseBytesReceived() {
    stallDetector.bytesReceived();
  }

  @Override
  public void protocolViolation() {
    UpstreamAttempt violated = attempt;
    attempt = null;
    channel.close();
    if (violated != null) {
      violated.responseInvalid();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (attempt != null) {
      stallDetector.readCompleted();
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    messageCompleted();
    if (attempt != null && !channel.isActive()) {
      // Guards against a crash taken for the end of a response: the end of the connection
      // completed this one.
      attempt.connectionLost();
    } else if (!isValid(response)) {
      protocolViolation();
    } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      interimResponse(response);
    } else {
      finalResponse(response);
    }
  }

  private void messageCompleted() {
    boolean moreReceived = decoder.hasBufferedBytes();
    if (moreReceived) {
      decoder.expectResponseContinuation();
    } else {
      decoder.expectResponseStart();
    }
    stallDetector.messageCompleted(moreReceived);
  }

  /** Guards against a success for another request: it arrives before this one is written. */
  private boolean isValid(FullHttpResponse response) {
    return attempt != null
        && response.decoderResult().isSuccess()
        && (attempt.isWritten() || response.status().code() != HttpResponseStatus.OK.code());
  }

  private void interimResponse(FullHttpResponse response) {
    interimResponses++;
    if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()
        || interimResponses > MAX_INTERIM_RESPONSES) {
      protocolViolation();
    }
  }

  private void finalResponse(FullHttpResponse response) {
    UpstreamAttempt answered = attempt;
    attempt = null;
    boolean reusable =
        answered.isWritten() && HttpUtil.isKeepAlive(response) && !decoder.hasBufferedBytes();
    answered.responseReceived(response);
    // Released only now: the policy's next attempt must not read from a connection being read.
    if (reusable && channel.isActive()) {
      pool.release(this, endpoint);
    } else {
      channel.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    stallDetector.cancel();
    if (endpoint != null) {
      endpoint.removeIdle(this);
    }
    if (attempt != null) {
      attempt.connectionLost();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
      // The attempt learns of it from channelInactive.
      channel.close();
    } else {
      // The response is too large or not HTTP: the endpoint has had the request.
      protocolViolation();
    }
  }
}
