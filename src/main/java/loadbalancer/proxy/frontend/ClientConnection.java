package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import loadbalancer.proxy.eventloop.ClientEvictor.Eviction;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.frontend.RequestPipeline.PipelinedRequest;
import loadbalancer.proxy.logging.ProxyLogger;
import loadbalancer.proxy.memory.MemoryBudgets;

/**
 * One client connection. One request at a time is in flight; pipelined requests wait until it has
 * its response. Times are in milliseconds of the instance's clock.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements RequestDispatcher.Responder {

  private static final String HEALTH_CHECK_PATH = "/_health";

  private final Frontend frontend;
  private final RequestDispatcher dispatcher;
  private final ArrivalTimeEstimate arrivalTime;
  private final Channel channel;
  private final ClientRequestDecoder decoder;
  private final RequestAssembler assembler;
  private final RequestPipeline pipeline;
  private final CurrentRequest currentRequest;
  private final ResponseWriter responseWriter;
  private final ConnectionTimeouts timeouts;

  /** Answered after the requests before it, and input after it is discarded; null if none. */
  private BadRequestException protocolViolation;

  /** Whether {@link #processNext} is running, which may cause a response that calls it again. */
  private boolean processing;

  ClientConnection(
      Frontend frontend,
      RequestDispatcher dispatcher,
      ArrivalTimeEstimate arrivalTime,
      Channel channel) {
    this.frontend = frontend;
    this.dispatcher = dispatcher;
    this.channel = channel;
    this.arrivalTime = arrivalTime;
    MemoryBudgets budgets = frontend.memoryBudgets();
    assembler =
        new RequestAssembler(
            channel, budgets, () -> rejectPartialRequest(RequestHeadValidator.noMemoryLeft()));
    decoder = new ClientRequestDecoder(this::onFirstByte, assembler.headMemory(), arrivalTime);
    pipeline = new RequestPipeline(frontend.pipelineBudget());
    currentRequest = new CurrentRequest(frontend, dispatcher, this);
    responseWriter = new ResponseWriter(channel, decoder, budgets.bodies());
    timeouts = new ConnectionTimeouts(dispatcher.now());
  }

  ChannelHandler decoder() {
    return decoder;
  }

  /** The latest of the accept, the last response, and the last byte received. */
  double lastActivityAtMillis() {
    return Math.max(timeouts.lastActivityAtMillis(), arrivalTime.lastReadAtMillis());
  }

  private boolean isIdle() {
    return hasNothingToAnswer() && !decoder.hasPartialRequest();
  }

  /** Whether a request has been received in part, and nothing is to be answered before it. */
  private boolean isReceivingRequest() {
    return hasNothingToAnswer()
        && decoder.hasPartialRequest()
        && !decoder.isDecoding()
        && !processing;
  }

  private boolean hasNothingToAnswer() {
    return responseWriter.isOpen()
        && !currentRequest.isPresent()
        && pipeline.isEmpty()
        && protocolViolation == null
        && !responseWriter.hasPendingWrites();
  }

  /** Whether {@link #evict} may close the connection. */
  boolean isEvictable(boolean evenWithPartialRequest) {
    return channel.isOpen()
        && (responseWriter.isLingering()
            || isIdle()
            || (evenWithPartialRequest && isReceivingRequest()));
  }

  /** Closes an evictable connection, since its descriptor is needed for another one. */
  Eviction evict() {
    if (responseWriter.isLingering()) {
      responseWriter.closeLingering();
      return Eviction.IDLE;
    }
    if (!decoder.hasPartialRequest()) {
      return closeIfIdle() ? Eviction.IDLE : Eviction.NONE;
    }
    if (!rejectUnlessCompleted(BadRequestException.noConnectionLeft())) {
      return Eviction.NONE;
    }
    channel.close();
    return Eviction.PARTIAL_REQUEST;
  }

  /**
   * Rejects a request received in part, unless what the kernel holds completes it.
   *
   * @return false if the request is complete
   */
  private boolean rejectUnlessCompleted(BadRequestException reason) {
    double activeAtMillis = timeouts.lastActivityAtMillis();
    if (isConnected()) {
      // If the request has been answered at once, another one may be arriving already.
      if (!isReceivingRequest() || timeouts.lastActivityAtMillis() > activeAtMillis) {
        return false;
      }
      rejectPartialRequest(reason);
    }
    return true;
  }

  /**
   * Closes the connection if it is idle and no request waits unread in the kernel, which would be
   * lost. Returns whether the connection is closed.
   */
  boolean closeIfIdle() {
    if (isIdle()) {
      DescriptorBudget.readNow(channel);
      if (isIdle()) {
        channel.close();
      }
    }
    return !channel.isOpen();
  }

  /** Closes the connection unless a response is due; a request received in part is rejected. */
  void beginForcedShutdown() {
    DescriptorBudget.readNow(channel);
    if (decoder.hasPartialRequest() && protocolViolation == null && responseWriter.isOpen()) {
      rejectPartialRequest(BadRequestException.tooLate());
    }
    closeIfIdle();
  }

  /** Rejects a request received in part; further input is discarded. */
  private void rejectPartialRequest(BadRequestException reason) {
    onProtocolViolation(reason);
    processNext();
  }

  /**
   * Reads all that the kernel holds: a disconnect shows only after the bytes sent before it. While
   * a request is being dispatched, nothing is read, since the connection was checked just before.
   */
  @Override
  public boolean isConnected() {
    if (currentRequest.isBeingDispatched()) {
      return channel.isOpen();
    }
    decoder.readAll(channel);
    return channel.isOpen();
  }

  /** Closes the connection, or rejects the request received in part, if its timeout is over. */
  void checkTimeouts(double now) {
    if (!responseWriter.isOpen() || responseWriter.hasPendingWrites()) {
      if (timeouts.isWriteOverdue(now)) {
        channel.close();
      }
    } else if (decoder.hasPartialRequest()) {
      if (!currentRequest.isPresent() && timeouts.isRequestOverdue(now)) {
        rejectUnlessCompleted(BadRequestException.tooSlow());
      }
    } else if (timeouts.isIdleTooLong(now)) {
      closeIfIdle();
    }
  }

  private void onFirstByte() {
    if (!currentRequest.isPresent()) {
      timeouts.onFirstByte(dispatcher.now());
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    frontend.onAccepted(this, channel);
    ctx.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (message instanceof ByteBuf bytes) {
        responseWriter.countDiscarded(bytes);
      } else if (responseWriter.isOpen() && protocolViolation == null) {
        assemble(message);
      }
    } catch (BadRequestException e) {
      onProtocolViolation(e);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void assemble(Object message) throws BadRequestException {
    if (message instanceof HttpRequest head) {
      assembler.begin(head);
      // A client that pipelines sends the body without waiting for this interim response.
      if (HttpUtil.is100ContinueExpected(head)
          && !currentRequest.isPresent()
          && pipeline.isEmpty()) {
        responseWriter.writeContinue();
      }
    }
    if (message instanceof HttpContent content) {
      Optional<CountedRequest> complete = assembler.append(content);
      if (complete.isPresent()) {
        enqueue(complete.get());
      }
    }
  }

  /** Adds a request; "too many requests sent ahead" means that the pipeline is over its limit. */
  private void enqueue(CountedRequest request) throws BadRequestException {
    pipeline.add(request, arrivalTime.earliestArrivalMillis());
    if (pipeline.isOverLimit(currentRequest.isPresent())) {
      // Abandons the request in flight, or the error could be delayed until that one's deadline.
      pipeline.clear();
      currentRequest.abandon();
      throw new BadRequestException("too many requests sent ahead");
    }
  }

  /** Processes requests only after the read: if they are too many, none is forwarded. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    processNext();
    ctx.fireChannelReadComplete();
  }

  private void onProtocolViolation(BadRequestException violation) {
    protocolViolation = violation;
    discardInput();
  }

  private void discardInput() {
    decoder.discardInput();
    assembler.reset();
  }

  /** Processes requests until one is in flight or none is left. */
  private void processNext() {
    if (processing) {
      return;
    }
    processing = true;
    try {
      while (hasNext()) {
        // The client may have disconnected while its request waited in the pipeline.
        if (!isConnected()) {
          return;
        }
        PipelinedRequest nextRequest = pipeline.poll();
        if (nextRequest == null) {
          reject(protocolViolation);
        } else {
          process(nextRequest.request(), nextRequest.arrivedAtMillis());
        }
      }
    } finally {
      processing = false;
    }
  }

  private boolean hasNext() {
    return responseWriter.isOpen()
        && !currentRequest.isPresent()
        && (protocolViolation != null || !pipeline.isEmpty());
  }

  private void process(FullHttpRequest request, double arrivedAtMillis) {
    currentRequest.begin(request);
    if (request.uri().equals(HEALTH_CHECK_PATH) && request.method().equals(HttpMethod.GET)) {
      write(HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER, 0);
      return;
    }
    if (frontend.isForcedShutdown()) {
      write(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, 0);
      return;
    }
    try {
      currentRequest.dispatch(arrivedAtMillis);
    } catch (BadRequestException e) {
      reject(e);
    }
  }

  /** Writes an error response and closes: what follows a bad request can't be trusted. */
  private void reject(BadRequestException violation) {
    responseWriter.beginLastResponse();
    pipeline.clear();
    ByteBuf body = Unpooled.copiedBuffer(violation.getMessage() + "\n", StandardCharsets.UTF_8);
    write(violation.status(), body, 0);
  }

  @Override
  public void respond(HttpResponseStatus status, ByteBuf body, double retryAfterMillis) {
    write(status, body.retain(), retryAfterMillis);
  }

  /** Writes a response and processes the next request. Takes ownership of {@code body}. */
  private void write(HttpResponseStatus status, ByteBuf body, double retryAfterMillis) {
    if (isLastResponse()) {
      responseWriter.beginLastResponse();
      discardInput();
    }
    currentRequest.finish();
    timeouts.onResponse(dispatcher.now());
    responseWriter.write(status, body, retryAfterMillis);
    if (responseWriter.isOpen()) {
      processNext();
    } else {
      pipeline.clear();
    }
    // If now idle, this connection may be closed in favor of a client that waits to be accepted.
    frontend.resumeAccepting();
  }

  private boolean isLastResponse() {
    // During a shutdown, requests that have already arrived on the connection are still answered.
    boolean noRequestLeftInShutdown =
        frontend.isShuttingDown() && pipeline.isEmpty() && !decoder.hasPartialRequest();
    return !responseWriter.isOpen() || !currentRequest.wantsKeepAlive() || noRequestLeftInShutdown;
  }

  /** Abandons the request in flight because its client has disconnected. */
  void abandonCurrentRequest() {
    currentRequest.abandon();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    frontend.onClosed(this);
    pipeline.clear();
    assembler.reset();
    currentRequest.abandon();
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      ProxyLogger.LOGGER.warning("client connection failed: error=" + cause);
    }
    ctx.close();
  }
}
