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
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.frontend.RequestPipeline.PipelinedRequest;
import loadbalancer.proxy.logging.ProxyLogger;

/**
 * One client connection. One request at a time is in flight; pipelined ones wait for its response.
 * Times are in milliseconds of the event loop's clock.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements RequestDispatcher.Responder {

  private enum State {
    /** Requests are answered. */
    SERVING,
    /** The last response is being written; nothing that arrives is answered any more. */
    WRITING_LAST_RESPONSE,
    /** The last response is written; the client has a while to close its side. */
    LINGERING
  }

  private static final String HEALTH_CHECK_PATH = "/_health";

  /** More than the kernel buffers for a connection. */
  private static final int MAX_UNREAD_BYTES = 16 * 1024 * 1024;

  /** Longest time from the first byte of a request to its last. */
  private static final double REQUEST_TIMEOUT_MILLIS = 2_300;

  /** Longest time from the accept to the first byte of a request. */
  private static final double FIRST_REQUEST_TIMEOUT_MILLIS = 2_300;

  /** Longest time from a response to the first byte of the next request. */
  private static final double KEEP_ALIVE_TIMEOUT_MILLIS = 3_000;

  /** Longest time for the client to take a response off the connection. */
  private static final double WRITE_TIMEOUT_MILLIS = 10_000;

  private final Frontend frontend;
  private final RequestDispatcher dispatcher;
  private final EventLoopMonitor monitor;
  private final Channel channel;
  private final ClientRequestDecoder decoder = new ClientRequestDecoder(this::onFirstByte);
  private final RequestAssembler assembler;
  private final RequestPipeline pipeline;
  private final CurrentRequest currentRequest;
  private final ResponseWriter responseWriter;
  private final LingeringClose lingeringClose;

  /** The earliest time at which the connection may have been made. */
  private final double earliestConnectAtMillis;

  /** The event loop's iteration that accepted the connection. */
  private final long acceptIteration;

  private State state = State.SERVING;

  /** Answered after the requests that came before it; nothing that follows it is read. */
  private BadRequestException protocolViolation;

  private boolean processing;
  private boolean hasResponded;
  private double lastActivityAtMillis;

  ClientConnection(
      Frontend frontend, RequestDispatcher dispatcher, EventLoopMonitor monitor, Channel channel) {
    this.frontend = frontend;
    this.dispatcher = dispatcher;
    this.monitor = monitor;
    this.channel = channel;
    assembler = new RequestAssembler(channel);
    pipeline = new RequestPipeline(frontend.pipelineBudget());
    currentRequest = new CurrentRequest(frontend, dispatcher, this);
    responseWriter = new ResponseWriter(channel, this::onAllWritten);
    lingeringClose = new LingeringClose(channel, decoder);
    earliestConnectAtMillis = earliestArrivalOfPendingEvents();
    acceptIteration = monitor.iterationCount();
    lastActivityAtMillis = dispatcher.now();
  }

  ChannelHandler decoder() {
    return decoder;
  }

  boolean isOpen() {
    return channel.isOpen();
  }

  void close() {
    channel.close();
  }

  /** When it was accepted, had its last response, or began the request that is arriving. */
  double lastActivityAtMillis() {
    return lastActivityAtMillis;
  }

  private boolean isIdle() {
    return state == State.SERVING
        && !currentRequest.isPresent()
        && pipeline.isEmpty()
        && protocolViolation == null
        && !decoder.hasPartialRequest()
        && !responseWriter.hasPendingWrites();
  }

  boolean isLingering() {
    return state == State.LINGERING;
  }

  /**
   * Closes the connection if it is idle and the kernel holds no unread request, which would be
   * lost.
   *
   * @return whether the connection is closed
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

  /** Stops reading requests: only those in flight and pending responses keep it open. */
  void beginForcedShutdown() {
    DescriptorBudget.readNow(channel);
    if (decoder.hasPartialRequest() && protocolViolation == null && state == State.SERVING) {
      rejectPartialRequest("too late");
    }
    closeIfIdle();
  }

  private void rejectPartialRequest(String message) {
    onProtocolViolation(new BadRequestException(HttpResponseStatus.REQUEST_TIMEOUT, message));
    processNext();
  }

  /**
   * Reads until the kernel holds no more, as the end of the stream lies behind all that the client
   * has sent. A client that sends without end counts as connected. While a request is being
   * dispatched, the check before it still holds.
   */
  @Override
  public boolean isConnected() {
    if (currentRequest.isBeingDispatched()) {
      return channel.isOpen();
    }
    long first = decoder.receivedBytes();
    long before = -1;
    while (channel.isOpen()
        && decoder.receivedBytes() > before
        && decoder.receivedBytes() - first < MAX_UNREAD_BYTES) {
      before = decoder.receivedBytes();
      DescriptorBudget.readNow(channel);
    }
    return channel.isOpen();
  }

  /** Enforces the timeouts. */
  void checkTimeouts(double now) {
    double age = now - lastActivityAtMillis;
    if (state != State.SERVING || responseWriter.hasPendingWrites()) {
      if (age > WRITE_TIMEOUT_MILLIS) {
        channel.close();
      }
    } else if (decoder.hasPartialRequest()) {
      if (!currentRequest.isPresent() && age > REQUEST_TIMEOUT_MILLIS) {
        rejectPartialRequest("too slow");
      }
    } else if (age > (hasResponded ? KEEP_ALIVE_TIMEOUT_MILLIS : FIRST_REQUEST_TIMEOUT_MILLIS)) {
      closeIfIdle();
    }
  }

  private void onFirstByte() {
    if (hasResponded && !currentRequest.isPresent()) {
      lastActivityAtMillis = dispatcher.now();
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
        lingeringClose.discard(bytes);
      } else if (state == State.SERVING && protocolViolation == null) {
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
      // A client that pipelines sends the body without waiting to be asked for it.
      if (HttpUtil.is100ContinueExpected(head)
          && !currentRequest.isPresent()
          && pipeline.isEmpty()) {
        responseWriter.writeContinue();
      }
    }
    if (message instanceof HttpContent content) {
      Optional<FullHttpRequest> complete = assembler.append(content);
      if (complete.isPresent()) {
        enqueue(complete.get());
      }
    }
  }

  private void enqueue(FullHttpRequest request) throws BadRequestException {
    pipeline.add(request, earliestArrivalOfReadBytes());
    if (pipeline.isOverLimit(currentRequest.isPresent())) {
      // The request in flight is dropped too: it could delay the error until its deadline.
      pipeline.clear();
      currentRequest.abandon();
      throw new BadRequestException("too many requests sent ahead");
    }
  }

  /**
   * The earliest time at which the bytes that are read now may have arrived, from which a request's
   * deadline runs. Bytes that are read right after the accept may have come with the connection.
   */
  private double earliestArrivalOfReadBytes() {
    boolean justAccepted = monitor.iterationCount() - acceptIteration <= 1;
    return justAccepted ? earliestConnectAtMillis : earliestArrivalOfPendingEvents();
  }

  private double earliestArrivalOfPendingEvents() {
    return dispatcher.now() - monitor.longestWaitMillis();
  }

  /** Begins requests only now, so that none is forwarded if there are too many of them. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    processNext();
    ctx.fireChannelReadComplete();
  }

  private void onProtocolViolation(BadRequestException violation) {
    protocolViolation = violation;
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
        // The client may have disconnected while its request waited.
        if (!isConnected()) {
          return;
        }
        PipelinedRequest next = pipeline.poll();
        if (next == null) {
          reject(protocolViolation);
        } else {
          process(next.request(), next.arrivedAtMillis());
        }
      }
    } finally {
      processing = false;
    }
  }

  private boolean hasNext() {
    return state == State.SERVING
        && !currentRequest.isPresent()
        && (protocolViolation != null || !pipeline.isEmpty());
  }

  private void process(FullHttpRequest request, double arrivedAt) {
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
      currentRequest.dispatch(arrivedAt);
    } catch (BadRequestException e) {
      reject(e);
    }
  }

  /** Answers a protocol violation and closes, as the rest of the input can't be trusted. */
  private void reject(BadRequestException violation) {
    state = State.WRITING_LAST_RESPONSE;
    pipeline.clear();
    ByteBuf body = Unpooled.copiedBuffer(violation.getMessage() + "\n", StandardCharsets.UTF_8);
    write(violation.status(), body, 0);
  }

  @Override
  public void respond(HttpResponseStatus status, ByteBuf body, double retryAfterMillis) {
    write(status, body.retain(), retryAfterMillis);
  }

  /** Writes a response, whose body it takes over, and goes on to the next request. */
  private void write(HttpResponseStatus status, ByteBuf body, double retryAfterMillis) {
    if (isLastResponse()) {
      state = State.WRITING_LAST_RESPONSE;
    }
    currentRequest.finish();
    hasResponded = true;
    lastActivityAtMillis = dispatcher.now();
    frontend.onResponse(this);
    responseWriter.write(status, body, retryAfterMillis, state != State.SERVING);
    if (state == State.SERVING) {
      processNext();
    } else {
      pipeline.clear();
    }
    // Now idle, this connection may be evicted for a client that waits to be accepted.
    frontend.resumeAccepting();
  }

  private boolean isLastResponse() {
    // Requests that have arrived before a graceful shutdown are still answered.
    boolean drained =
        frontend.isShuttingDown() && pipeline.isEmpty() && !decoder.hasPartialRequest();
    return state != State.SERVING || !currentRequest.wantsKeepAlive() || drained;
  }

  private void onAllWritten() {
    if (state != State.SERVING) {
      state = State.LINGERING;
      lingeringClose.begin();
    }
  }

  /** Gives up the request in flight, as its client has disconnected. */
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
