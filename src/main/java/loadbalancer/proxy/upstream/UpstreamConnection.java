package loadbalancer.proxy.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
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
import loadbalancer.proxy.memory.CompactingAggregator;
import loadbalancer.proxy.memory.HeadMemory;
import loadbalancer.proxy.memory.MemoryBudgets;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * The channel handler of one connection to an endpoint. The connection carries one attempt at a
 * time; the handler validates the response. Used on the event loop thread only.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse>
    implements UpstreamResponseDecoder.Connection {

  /** More 1xx responses than this to one request are a protocol violation. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  /** A body in more pieces than this is copied into one: each piece takes some heap. */
  private static final int MAX_BODY_PIECES = 128;

  private final SocketChannel channel;
  private final ConnectionPool pool;
  private final HeadMemory headMemory;
  private final UpstreamResponseDecoder decoder;
  private final ResponseStallDetector stallDetector;

  /** When the connection last became idle; empty until it is first pooled. */
  private OptionalDouble idleSinceMillis = OptionalDouble.empty();

  /** The endpoint's entry for which the connection was opened; null until it is established. */
  private Entry entry;

  /** The attempt whose response is awaited; null if there is none. */
  private UpstreamAttempt attempt;

  /** The endpoint for which the connection was last used or pooled; null before its first use. */
  private UpstreamEndpoint endpoint;

  /** The number of 1xx responses to the current request. */
  private int interimResponses;

  UpstreamConnection(SocketChannel channel, ConnectionPool pool, MemoryBudgets memoryBudgets) {
    this.channel = channel;
    this.pool = pool;
    headMemory = new HeadMemory(memoryBudgets.heads());
    decoder = new UpstreamResponseDecoder(this, headMemory);
    stallDetector = new ResponseStallDetector(channel.eventLoop(), this::protocolViolation);
  }

  void addToPipeline() {
    channel.pipeline().addLast(decoder, new HttpRequestEncoder(), newAggregator(), this);
  }

  private static CompactingAggregator newAggregator() {
    CompactingAggregator aggregator = new CompactingAggregator(ProtocolHeaders.MAX_BODY_BYTES);
    aggregator.setMaxCumulationBufferComponents(MAX_BODY_PIECES);
    return aggregator;
  }

  /** Called when the connection that was opened for the given entry is established. */
  void established(Entry openedFor) {
    entry = openedFor;
  }

  Entry entry() {
    return entry;
  }

  /** Assigns the connection to an attempt, whose response is awaited from now on. */
  void attach(UpstreamAttempt newAttempt, UpstreamEndpoint attemptEndpoint) {
    attempt = newAttempt;
    endpoint = attemptEndpoint;
    decoder.expectResponseStart();
    interimResponses = 0;
    stallDetector.requestStarted();
  }

  /**
   * Called when the attempt no longer uses the connection and it is returned to the pool.
   *
   * @param pooledFor the endpoint for which it is pooled
   */
  void detach(UpstreamEndpoint pooledFor) {
    attempt = null;
    endpoint = pooledFor;
  }

  void markIdle(double now) {
    idleSinceMillis = OptionalDouble.of(now);
  }

  /** When the connection last became idle; it must have been in the pool before. */
  double idleSinceMillis() {
    return idleSinceMillis.getAsDouble();
  }

  /** How long the connection has been idle, in milliseconds; empty until it is first pooled. */
  OptionalDouble idleMillis(double now) {
    return idleSinceMillis.isPresent()
        ? OptionalDouble.of(now - idleSinceMillis.getAsDouble())
        : OptionalDouble.empty();
  }

  /**
   * Reads what the kernel has received on the connection, and returns whether it is still open
   * after that. Without the read, a request could be written to a connection that the endpoint has
   * already closed, and would count as one that the endpoint may have executed.
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
    UpstreamAttempt failedAttempt = attempt;
    attempt = null;
    channel.close();
    if (failedAttempt != null) {
      failedAttempt.responseInvalid();
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
    try {
      handle(response);
    } finally {
      headMemory.release();
    }
  }

  private void handle(FullHttpResponse response) {
    if (attempt != null && isTruncated(response)) {
      attempt.connectionLost();
    } else if (!isValid(response)) {
      protocolViolation();
    } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      handleInterimResponse(response);
    } else {
      handleFinalResponse(response);
    }
  }

  /**
   * Whether the response was cut off. The end of the connection completes a response that has no
   * length, but only a FIN shows that the endpoint has sent all of it. After a FIN the channel is
   * still active here; after a reset, or a close by this process, it is not.
   */
  private boolean isTruncated(FullHttpResponse response) {
    return !channel.isActive()
        || response.decoderResult().cause() instanceof PrematureChannelClosureException;
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

  /**
   * Whether the response is well-formed and can belong to the attempt. A success that arrives
   * before the request is completely written belongs to another request. The aggregator has removed
   * the transfer coding {@code chunked}, so one that is left is unknown, and so is the body.
   */
  private boolean isValid(FullHttpResponse response) {
    return attempt != null
        && response.decoderResult().isSuccess()
        && !response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        && (attempt.isWritten() || response.status().code() != HttpResponseStatus.OK.code());
  }

  private void handleInterimResponse(FullHttpResponse response) {
    interimResponses++;
    if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()
        || interimResponses > MAX_INTERIM_RESPONSES) {
      protocolViolation();
    }
  }

  private void handleFinalResponse(FullHttpResponse response) {
    UpstreamAttempt answeredAttempt = attempt;
    attempt = null;
    boolean reusable =
        answeredAttempt.isWritten()
            && HttpUtil.isKeepAlive(response)
            && !decoder.hasBufferedBytes()
            && !channel.isInputShutdown();
    answeredAttempt.responseReceived(response);
    // Released only after the attempt is notified: the policy may react with another attempt, which
    // would acquire this connection and read from it although it is just being read.
    if (reusable && channel.isActive()) {
      pool.release(this, endpoint);
    } else {
      channel.close();
    }
  }

  /** Closes the connection after a FIN, once the decoder has completed the response with it. */
  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      // Calls channelInactive, which notifies the attempt if its response is incomplete.
      channel.close();
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    stallDetector.cancel();
    headMemory.release();
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
    if (cause instanceof IOException
        || cause instanceof PrematureChannelClosureException
        || cause instanceof OutOfMemoryError) {
      // Closing calls channelInactive, which notifies the attempt.
      channel.close();
    } else {
      // Not a lost connection or a lack of memory in this process: the endpoint has answered, but
      // too much or not in HTTP.
      protocolViolation();
    }
  }
}
