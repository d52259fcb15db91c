package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.Function;
import loadbalancer.model.ClientRequest;

/**
 * What client connections need of the process that they belong to. All methods are called on the
 * event loop.
 */
public interface RequestDispatcher {

  /** The time in milliseconds, see {@link loadbalancer.proxy.eventloop.Clock}. */
  double now();

  /**
   * Accepts a request and takes over one reference to {@code message}. The responder may be called
   * before this returns.
   *
   * @param description builds the request from the number that it is given
   */
  DispatchedRequest dispatch(
      Function<Long, ClientRequest> description, FullHttpRequest message, Responder responder);

  /** A request that was accepted. */
  interface DispatchedRequest {

    /** Whether its client still waits for the final response. */
    boolean isOpen();

    /** The client has closed its connection; nothing is owed any more. */
    void clientDisconnected();
  }

  /** The client that waits for a response. */
  interface Responder {

    /**
     * Writes the final response; called at most once.
     *
     * @param body not to be kept after this returns
     * @param retryAfterMillis when to come back, in milliseconds; 0 for no advice
     */
    void respond(HttpResponseStatus status, ByteBuf body, double retryAfterMillis);

    /**
     * Whether the client is still connected as far as the kernel knows, which the event loop may
     * not have been told yet.
     */
    boolean isConnected();
  }
}
