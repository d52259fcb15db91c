package loadbalancer.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * One request on its way to one endpoint. It is written once at most; every failure is an outcome,
 * and the listener is notified of exactly one. Confined to the event loop.
 */
public final class UpstreamAttempt {

  private enum State {
    /** Waits for a connection: nothing of the request can have run. */
    CONNECTING,
    /** Has a connection; not all bytes are written, so the request can't have run. */
    WRITING,
    /** All bytes are written: the request may have run. */
    WRITTEN,
    /** Over; the listener is notified of the outcome. */
    DONE
  }

  private static final double MICROS_PER_MILLI = 1_000;

  private final EventLoop loop;
  private final Clock clock;
  private final ConnectionPool pool;
  private final UpstreamConnector connector;
  private final FullHttpRequest request;
  private final double deadlineMillis;
  private final UpstreamClient.Listener listener;
  private final Future<?> timeout;

  /** Channels opened for this attempt, that of the first connect first. */
  private final List<Channel> openedChannels = new ArrayList<>(2);

  private State state = State.CONNECTING;
  private UpstreamEndpoint endpoint;

  /** The connection that the attempt uses; null until it has one. */
  private UpstreamConnection connection;

  /** When the attempt got its connection; unused before. */
  private double writeStartedAtMillis;

  /** The idle time of a pooled connection when it was taken; empty for a new connection. */
  private OptionalDouble idleMillis = OptionalDouble.empty();

  UpstreamAttempt(
      EventLoop loop,
      Clock clock,
      ConnectionPool pool,
      UpstreamConnector connector,
      FullHttpRequest request,
      double deadline,
      UpstreamClient.Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.pool = pool;
    this.connector = connector;
    this.request = request;
    this.deadlineMillis = deadline;
    this.listener = listener;
    timeout = loop.schedule(this::timedOut, clock.nanosUntil(deadline), TimeUnit.NANOSECONDS);
  }

  /** Sends the request over a pooled connection or a new one. */
  void start(UpstreamEndpoint target) {
    endpoint = target;
    UpstreamConnection pooled =
        pool.acquire(endpoint, ForwardedRequest.isRetryable(request)).orElse(null);
    if (pooled != null) {
      write(pooled);
    } else if (connector.connect(endpoint.entry(), this)) {
      long delayMicros = (long) (connector.retryDelayMillis() * MICROS_PER_MILLI);
      loop.schedule(this::retryConnect, delayMicros, TimeUnit.MICROSECONDS);
    } else {
      // A shortage of descriptors here says nothing about the endpoint.
      finish(AttemptOutcome.NOT_SENT, null);
    }
  }

  /** Ends an attempt whose endpoint is not on the list. */
  void endpointUnknown() {
    finish(AttemptOutcome.CONNECT_FAILED, null);
  }

  /** The first connect is late. The attempt uses the connection that is established first. */
  private void retryConnect() {
    if (state == State.CONNECTING && endpoint.isReady()) {
      connector.connect(endpoint.entry(), this);
    }
  }

  void connectStarted(Channel channel) {
    openedChannels.add(channel);
  }

  void connected(UpstreamConnection established) {
    if (connection != null) {
      // The other connection was faster.
      pool.release(established, endpoint);
    } else if (state == State.DONE) {
      established.close();
    } else if (!listener.isStillWanted()) {
      abort(AttemptOutcome.NOT_SENT);
    } else if (state == State.CONNECTING) {
      // Checked again: the listener may have ended the attempt when it was asked.
      write(established);
    }
  }

  void connectFailed(Channel channel) {
    // The policy reckons with the timeout of one connect, so a retry doesn't prolong it.
    if (state == State.CONNECTING && channel.equals(openedChannels.get(0))) {
      abort(AttemptOutcome.CONNECT_FAILED);
    }
  }

  private void write(UpstreamConnection acquired) {
    double now = clock.now();
    state = State.WRITING;
    connection = acquired;
    writeStartedAtMillis = now;
    idleMillis = acquired.idleMillis(now);
    // Guards against an endpoint that was replaced meanwhile: another one may have its address.
    boolean isCurrent = endpoint.isSameProcess(acquired.entry());
    if (now >= deadlineMillis || !isCurrent || !endpoint.acceptsRequests(now)) {
      pool.release(acquired, endpoint);
      finish(AttemptOutcome.CONNECT_FAILED, null);
      return;
    }
    acquired.attach(this, endpoint);
    String host = endpoint.entry().address().getHostString();
    acquired.write(
        ForwardedRequest.create(request, host, deadlineMillis - now),
        result -> writeCompleted(result.isSuccess()));
  }

  private void writeCompleted(boolean success) {
    if (!success) {
      connectionLost();
    } else if (state == State.WRITING) {
      state = State.WRITTEN;
    }
  }

  /** Whether all bytes of the request are written and the attempt still awaits its response. */
  boolean isWritten() {
    return state == State.WRITTEN;
  }

  /** The connection has ended without a complete response. */
  void connectionLost() {
    if (state != State.DONE
        && idleMillis.isPresent()
        && clock.now() - writeStartedAtMillis < IdleConnectionTrust.IMMEDIATE_RESET_MILLIS) {
      pool.trust().recordReset(idleMillis.getAsDouble());
    }
    abort(isWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
  }

  /** What arrived on the connection is not a valid response. */
  void responseInvalid() {
    abort(isWritten() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED);
  }

  private void timedOut() {
    abort(isWritten() ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
  }

  /**
   * Ends the attempt with {@link AttemptOutcome#NOT_SENT} if it still waits for its connection; has
   * no effect otherwise.
   */
  public void abandonIfConnecting() {
    if (state == State.CONNECTING) {
      abort(AttemptOutcome.NOT_SENT);
    }
  }

  /**
   * Ends the attempt with {@link AttemptOutcome#CANCELLED} and closes its connection, which tells
   * the endpoint; has no effect once the attempt is over.
   */
  public void cancel() {
    abort(AttemptOutcome.CANCELLED);
  }

  /**
   * Ends the attempt and its connections. They are closed first: the policy's reaction would else
   * overtake the close and be a duplicate request to the endpoint.
   */
  private void abort(AttemptOutcome outcome) {
    if (state == State.DONE) {
      return;
    }
    state = State.DONE;
    timeout.cancel(false);
    if (connection != null) {
      connection.close();
    } else {
      List.copyOf(openedChannels).forEach(Channel::close);
    }
    listener.attemptFinished(outcome, null);
  }

  /** The connection delivered a complete final response. */
  void responseReceived(FullHttpResponse response) {
    idleMillis.ifPresent(pool.trust()::recordSuccess);
    finish(outcomeOf(response), response);
  }

  private static AttemptOutcome outcomeOf(FullHttpResponse response) {
    return switch (response.status().code()) {
      case 200 -> AttemptOutcome.OK;
      case 503, 504 ->
          ProtocolHeaders.FLAG_SET.equals(response.headers().get(ProtocolHeaders.REJECTED))
              ? AttemptOutcome.REJECTED
              : AttemptOutcome.ERROR;
      default -> AttemptOutcome.ERROR;
    };
  }

  private void finish(AttemptOutcome outcome, FullHttpResponse response) {
    if (state != State.DONE) {
      state = State.DONE;
      timeout.cancel(false);
      listener.attemptFinished(outcome, response);
    }
  }
}
