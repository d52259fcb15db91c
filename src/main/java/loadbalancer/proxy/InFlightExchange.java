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

/**
 * One request and its attempts, as the sockets handle them; the policy keeps its own state of the
 * request. Lasts from the arrival until the request has its final response, or its client has
 * disconnected, and none of its attempts is running. Used on the event loop thread only.
 */
final class InFlightExchange implements RequestDispatcher.DispatchedRequest {

  /**
   * A request without a response is overdue this share of the response grace after its deadline.
   */
  private static final double OVERDUE_GRACE_SHARE = 0.5;

  private final long id;
  private final FullHttpRequest request;
  private final double deadlineMillis;
  private final Consumer<InFlightExchange> onClientDisconnected;

  /** The attempts, indexed by attempt number; null for an attempt that was not sent. */
  private final List<UpstreamAttempt> attempts = new ArrayList<>(2);

  /**
   * The number of attempts begun; one more than {@link #attempts} holds while one is being sent.
   */
  private int attemptCount;

  private int runningAttempts;
  private Future<?> overdueTimer;

  /** Null once the request has its final response or its client has disconnected. */
  private RequestDispatcher.Responder responder;

  /**
   * Creates the exchange of a request that has just arrived.
   *
   * @param request the callee takes ownership of one reference to it
   * @param deadlineMillis when the request's deadline ends, on the instance's {@link
   *     loadbalancer.proxy.eventloop.Clock}
   * @param onClientDisconnected called when the client connection reports its end
   */
  InFlightExchange(
      long id,
      FullHttpRequest request,
      double deadlineMillis,
      RequestDispatcher.Responder responder,
      Consumer<InFlightExchange> onClientDisconnected) {
    this.id = id;
    this.request = request;
    this.deadlineMillis = deadlineMillis;
    this.responder = responder;
    this.onClientDisconnected = onClientDisconnected;
  }

  long id() {
    return id;
  }

  FullHttpRequest request() {
    return request;
  }

  double deadlineMillis() {
    return deadlineMillis;
  }

  /** Sets the timer that fails the request when it is overdue; closing the exchange cancels it. */
  void setOverdueTimer(Future<?> timer) {
    overdueTimer = timer;
  }

  @Override
  public boolean isAwaitingResponse() {
    return responder != null;
  }

  @Override
  public void clientDisconnected() {
    onClientDisconnected.accept(this);
  }

  /**
   * Whether a client waits for a response and is still connected. A client whose disconnect has
   * reached the kernel counts as disconnected, even if the event loop has not handled that yet.
   */
  boolean isClientConnected() {
    return responder != null && responder.isConnected();
  }

  /** Counts one more running attempt and returns its attempt number. */
  int beginAttempt() {
    runningAttempts++;
    return attemptCount++;
  }

  /** Adds the attempt that was begun last; {@code null} if it was not sent. */
  void addAttempt(UpstreamAttempt attempt) {
    attempts.add(attempt);
  }

  /** Counts one running attempt less. */
  void endAttempt() {
    runningAttempts--;
  }

  /** Cancels an attempt; does nothing if no attempt has this number or it was not sent. */
  void cancelAttempt(int attemptNumber) {
    if (attemptNumber < attempts.size()) {
      cancel(attempts.get(attemptNumber));
    }
  }

  /** Cancels all attempts, including those already written to an upstream. */
  void cancelAttempts() {
    attempts.forEach(InFlightExchange::cancel);
  }

  private static void cancel(UpstreamAttempt attempt) {
    if (attempt != null) {
      attempt.cancel();
    }
  }

  /**
   * Writes the final response unless the exchange is closed; returns whether it did.
   *
   * @param retryAfterMillis the time to give in the Retry-After header; 0 for no header
   */
  boolean respond(HttpResponseStatus status, ByteBuf body, double retryAfterMillis) {
    RequestDispatcher.Responder waitingResponder = responder;
    if (waitingResponder == null) {
      return false;
    }
    close();
    waitingResponder.respond(status, body, retryAfterMillis);
    return true;
  }

  /**
   * Closes the exchange: the request has its final response or needs none. Attempts that still wait
   * for a connection are abandoned, as nothing of them is written, even if the settings do not
   * allow the policy to cancel running attempts ({@link
   * loadbalancer.model.LimitSettings#cancellation()}).
   */
  void close() {
    responder = null;
    if (overdueTimer != null) {
      overdueTimer.cancel(false);
    }
    attempts.stream().filter(Objects::nonNull).forEach(UpstreamAttempt::abandonIfConnecting);
  }

  /** The time at which the request is failed if the policy has not responded to it by then. */
  double overdueAtMillis(double responseGraceMillis) {
    return deadlineMillis + OVERDUE_GRACE_SHARE * responseGraceMillis;
  }

  /** Whether the exchange is closed and no attempt is running, so that nothing more can happen. */
  boolean isFinished() {
    return !isAwaitingResponse() && runningAttempts == 0;
  }
}
