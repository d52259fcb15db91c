package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import loadbalancer.proxy.frontend.RequestDispatcher;
import loadbalancer.proxy.upstream.UpstreamAttempt;

/** A request from its arrival until it has its one answer and none of its attempts is out. */
final class InFlightExchange implements RequestDispatcher.DispatchedRequest {

  final long id;
  final FullHttpRequest request;
  final double deadline;
  final List<UpstreamAttempt> attempts = new ArrayList<>(2);

  /**
   * How many attempts were asked for, and how many of them are out; one not sent is null in the
   * list.
   */
  int attemptCount;

  int runningAttempts;
  Future<?> overdueTimer;
  private final Consumer<InFlightExchange> onClientDisconnected;
  private RequestDispatcher.Responder responder;

  InFlightExchange(
      long id,
      FullHttpRequest request,
      double deadline,
      RequestDispatcher.Responder caller,
      Consumer<InFlightExchange> onClientDisconnected) {
    this.id = id;
    this.request = request;
    this.deadline = deadline;
    this.responder = caller;
    this.onClientDisconnected = onClientDisconnected;
  }

  @Override
  public boolean isOpen() {
    return responder != null;
  }

  @Override
  public void clientDisconnected() {
    onClientDisconnected.accept(this);
  }

  /** Whether a client waits for an answer and has not left just now, which is yet to be told. */
  boolean isClientConnected() {
    return responder != null && responder.isConnected();
  }

  /** Answers unless that is done already or nobody waits any more; tells whether it did. */
  boolean respond(HttpResponseStatus status, ByteBuf body, double retryAfter) {
    RequestDispatcher.Responder waiting = responder;
    if (waiting == null) {
      return false;
    }
    close();
    waiting.respond(status, body, retryAfter);
    return true;
  }

  /**
   * Nobody waits for an answer any more. What waits for its connection goes no further, whether or
   * not the module may call off what is out.
   */
  void close() {
    responder = null;
    if (overdueTimer != null) {
      overdueTimer.cancel(false);
    }
    attempts.stream().filter(Objects::nonNull).forEach(UpstreamAttempt::abandonUnlessWritten);
  }
}
