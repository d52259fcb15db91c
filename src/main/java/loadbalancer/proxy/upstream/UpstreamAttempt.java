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
import loadbalancer.proxy.memory.MemoryBudget;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * One attempt: sends a request to one endpoint. The request is written at most once, and the
 * listener is notified of exactly one outcome; failures are outcomes too. Used on the event loop
 * thread only.
 */
public final class UpstreamAttempt {

  private enum State {
    /** Waiting for a connection; the endpoint can't have executed the request. */
    CONNECTING,
    /** Writing the request; it is incomplete, so the endpoint can't have executed it. */
    WRITING,
    /** All bytes are written; the endpoint may have executed the request. */
    WRITTEN,
    /** Ended; the listener has been or is being notified of the outcome. */
    DONE
  }

  private static final double MICROS_PER_MILLI = 1_000;

  private final EventLoop loop;
  private final Clock clock;
  private final ConnectionPool pool;
  private final UpstreamConnector connector;

  /** Limits the memory of bodies, also of the response to this attempt. */
  private final MemoryBudget bodyBudget;

  private final FullHttpRequest request;
  private final double deadlineMillis;
  private final UpstreamClient.Listener listener;
  private final Future<?> timeout;

  /** The channels opened for this attempt: that of the first connect, then that of its retry. */
  private final List<Channel> openedChannels = new ArrayList<>(2);

  private State state = State.CONNECTING;

  /** Whether memory is reserved for the body of the response. */
  private boolean hasReservedMemory;

  private UpstreamEndpoint endpoint;

  /** The connection that carries the request; null until there is one. */
  private UpstreamConnection connection;

  /** When the attempt got its connection and began to write; unused before. */
  private double writeStartedAtMillis;

  /** How long the connection was idle before the attempt took it; empty if it is new. */
  private OptionalDouble idleMillis = OptionalDouble.empty();

  UpstreamAttempt(
      EventLoop loop,
      Clock clock,
      ConnectionPool pool,
      UpstreamConnector connector,
      MemoryBudget bodyBudget,
      FullHttpRequest request,
      double deadlineMillis,
      UpstreamClient.Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.pool = pool;
    this.connector = connector;
    this.bodyBudget = bodyBudget;
    this.request = request;
    this.deadlineMillis = deadlineMillis;
    this.listener = listener;
    timeout = loop.schedule(this::timedOut, clock.nanosUntil(deadlineMillis), TimeUnit.NANOSECONDS);
  }

  /**
   * Sends the request to an endpoint over a pooled connection or a new one, if there is memory for
   * the longest response: one that has begun can't be refused any more.
   */
  void start(UpstreamEndpoint targetEndpoint) {
    endpoint = targetEndpoint;
    hasReservedMemory = bodyBudget.tryReserve(ProtocolHeaders.MAX_BODY_BYTES);
    if (!hasReservedMemory) {
      finish(AttemptOutcome.NOT_SENT, null);
      return;
    }
    UpstreamConnection pooled =
        pool.acquire(endpoint, ForwardedRequest.isRetryable(request)).orElse(null);
    if (pooled != null) {
      write(pooled);
    } else if (connector.connect(endpoint.entry(), this)) {
      long delayMicros = (long) (connector.retryDelayMillis() * MICROS_PER_MILLI);
      loop.schedule(this::retryConnect, delayMicros, TimeUnit.MICROSECONDS);
    } else {
      // Not CONNECT_FAILED: a lack of descriptors in this process says nothing of the endpoint.
      finish(AttemptOutcome.NOT_SENT, null);
    }
  }

  /** Ends the attempt because its endpoint is not on the endpoint list. */
  void endpointUnknown() {
    finish(AttemptOutcome.CONNECT_FAILED, null);
  }

  /**
   * Opens a second connection because the first is still not established. The attempt uses the one
   * that is established first.
   */
  private void retryConnect() {
    if (state == State.CONNECTING && endpoint.isReady()) {
      connector.connect(endpoint.entry(), this);
    }
  }

  /** Called when a connect for this attempt has begun. */
  void connectStarted(Channel channel) {
    openedChannels.add(channel);
  }

  /** Called when a connection that was opened for this attempt is established. */
  void connected(UpstreamConnection established) {
    if (connection != null) {
      // The attempt already uses the other connection, so this one goes to the pool.
      pool.release(established, endpoint);
    } else if (state == State.DONE) {
      established.close();
    } else if (!listener.isStillWanted()) {
      abort(AttemptOutcome.NOT_SENT);
    } else if (state == State.CONNECTING) {
      // The state is checked again since isStillWanted may have ended the attempt.
      write(established);
    }
  }

  /** Called when a connect for this attempt has failed or timed out. */
  void connectFailed(Channel channel) {
    // The policy expects an attempt to wait for at most one connect timeout. So the failure of the
    // first connect ends the attempt even if the retry is pending; a failed retry doesn't end it.
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
    // The endpoint may have been replaced while the connect was pending, and its former address may
    // now be that of another endpoint, which must not get the request.
    boolean isSameProcess = endpoint.isSameProcess(acquired.entry());
    if (now >= deadlineMillis || !isSameProcess || !endpoint.acceptsRequests(now)) {
      pool.release(acquired, endpoint);
      finish(AttemptOutcome.CONNECT_FAILED, null);
      return;
    }
    acquired.attach(this, endpoint);
    String host = endpoint.entry().address().getHostString();
    acquired.write(
        ForwardedRequest.create(request, host, deadlineMillis - now),
        result -> writeEnded(result.isSuccess()));
  }

  private void writeEnded(boolean success) {
    if (!success) {
      connectionLost();
    } else if (state == State.WRITING) {
      state = State.WRITTEN;
    }
  }

  /** Whether all bytes of the request are written and its response is awaited. */
  boolean isWritten() {
    return state == State.WRITTEN;
  }

  /** Called when the connection has ended before the response was complete. */
  void connectionLost() {
    if (state != State.DONE
        && idleMillis.isPresent()
        && clock.now() - writeStartedAtMillis < IdleReuseLimit.IMMEDIATE_RESET_MILLIS) {
      pool.reuseLimit().recordReset(idleMillis.getAsDouble());
    }
    abort(isWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
  }

  /** Called when the bytes received on the connection are not a valid response. */
  void responseInvalid() {
    abort(isWritten() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED);
  }

  private void timedOut() {
    abort(isWritten() ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
  }

  /**
   * Ends the attempt with {@link AttemptOutcome#NOT_SENT} if it still waits for a connection; has
   * no effect otherwise.
   */
  public void abandonIfConnecting() {
    if (state == State.CONNECTING) {
      abort(AttemptOutcome.NOT_SENT);
    }
  }

  /**
   * Ends the attempt with {@link AttemptOutcome#CANCELLED} and closes its connection, by which the
   * endpoint learns of the cancellation; has no effect once the attempt has ended.
   */
  public void cancel() {
    abort(AttemptOutcome.CANCELLED);
  }

  /**
   * Ends the attempt and closes its connections. They are closed before the listener is notified:
   * otherwise a retry could reach the endpoint before the end of this attempt's connection does,
   * and the endpoint might execute the request twice.
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
    notifyListener(outcome, null);
  }

  /** Called when the connection has delivered a complete final response. */
  void responseReceived(FullHttpResponse response) {
    idleMillis.ifPresent(pool.reuseLimit()::recordSuccess);
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
      notifyListener(outcome, response);
    }
  }

  private void notifyListener(AttemptOutcome outcome, FullHttpResponse response) {
    try {
      listener.attemptFinished(outcome, response);
    } finally {
      if (hasReservedMemory) {
        bodyBudget.release(ProtocolHeaders.MAX_BODY_BYTES);
      }
    }
  }
}
