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
 * The state of one request, from its arrival until it has its final response and none of its
 * attempts is running. Used on the event loop thread only.
 */
final class InFlightExchange implements RequestDispatcher.DispatchedRequest {

  /** The share of the response grace after which a request without a response is overdue. */
  private static final double OVERDUE_GRACE_SHARE = 0.5;

  private final long id;
  private final FullHttpRequest request;
  private final double deadlineMillis;
  private final Consumer<InFlightExchange> onClientDisconnected;

  /** The attempts by their number; null for one that was not sent. */
  private final List<UpstreamAttempt> attempts = new ArrayList<>(2);

  /** The number of attempts begun; ahead of the list while an attempt is being sent. */
  private int attemptCount;

  private int runningAttempts;
  private Future<?> overdueTimer;

  /** Null once the request has its final response or its client has disconnected. */
  private RequestDispatcher.Responder responder;

  /**
   * Takes over one reference to {@code request}.
   *
   * @param deadlineMillis on the time line of {@link loadbalancer.proxy.eventloop.Clock}
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

  /** Sets the timer that is cancelled when the exchange is closed. */
  void setOverdueTimer(Future<?> timer) {
    overdueTimer = timer;
  }

  @Override
  public boolean isOpen() {
    return responder != null;
  }

  @Override
  public void clientDisconnected() {
    onClientDisconnected.accept(this);
  }

  /**
   * Whether a client waits for a response and is still connected as far as the kernel knows, which
   * the event loop may not have been notified of yet.
   */
  boolean isClientConnected() {
    return responder != null && responder.isConnected();
  }

  /** Counts one more running attempt and returns its number. */
  int beginAttempt() {
    runningAttempts++;
    return attemptCount++;
  }

  /** Keeps the attempt begun last; null if it was not sent. */
  void addAttempt(UpstreamAttempt attempt) {
    attempts.add(attempt);
  }

  /** Counts one running attempt less. */
  void endAttempt() {
    runningAttempts--;
  }

  /** Cancels an attempt; does nothing if it is unknown or was not sent. */
  void cancelAttempt(int number) {
    if (number < attempts.size()) {
      cancel(attempts.get(number));
    }
  }

  /** Cancels all attempts, also those that have been written. */
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
   * @param retryAfterMillis 0 for no advice
   */
  boolean respond(HttpResponseStatus status, ByteBuf body, double retryAfterMillis) {
    RequestDispatcher.Responder waiting = responder;
    if (waiting == null) {
      return false;
    }
    close();
    waiting.respond(status, body, retryAfterMillis);
    return true;
  }

  /**
   * Closes the exchange: no response is owed any more. Attempts that wait for a connection are
   * abandoned, whether or not the policy may cancel those that have been written.
   */
  void close() {
    responder = null;
    if (overdueTimer != null) {
      overdueTimer.cancel(false);
    }
    attempts.stream().filter(Objects::nonNull).forEach(UpstreamAttempt::abandonIfConnecting);
  }

  /** When the request has to be failed if the policy has left it without a response. */
  double overdueAtMillis(double responseGraceMillis) {
    return deadlineMillis + OVERDUE_GRACE_SHARE * responseGraceMillis;
  }

  /** Whether nothing more can happen to the exchange. */
  boolean isSettled() {
    return !isOpen() && runningAttempts == 0;
  }
}
