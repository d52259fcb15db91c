package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.Function;
import loadbalancer.model.ClientRequest;

/**
 * Receives the requests of client connections and has them answered. All methods are called on the
 * event loop.
 */
public interface RequestDispatcher {

  /** The current time in milliseconds, see {@link loadbalancer.proxy.eventloop.Clock}. */
  double now();

  /**
   * Accepts a validated request. The responder may be called before this returns.
   *
   * @param requestForId builds the description of the request for the policy; its argument is the
   *     id that the dispatcher assigns to the request
   * @param message the request as it is forwarded; the callee takes ownership of one reference to
   *     it
   */
  DispatchedRequest dispatch(
      Function<Long, ClientRequest> requestForId, FullHttpRequest message, Responder responder);

  /** A request that the dispatcher has accepted, as seen from its client connection. */
  interface DispatchedRequest {

    /** Whether its client still waits for the final response. */
    boolean isAwaitingResponse();

    /** Notifies the dispatcher that the client has disconnected and needs no response any more. */
    void clientDisconnected();
  }

  /** The connection of the client that waits for the response to a request. */
  interface Responder {

    /**
     * Writes the final response; called at most once.
     *
     * @param body not released by this method, which retains it if needed
     * @param retryAfterMillis the time after which the client is advised to retry; 0 for no advice
     */
    void respond(HttpResponseStatus status, ByteBuf body, double retryAfterMillis);

    /**
     * Whether the client is still connected. A client whose disconnect has reached the kernel
     * counts as disconnected, even if the event loop has not handled that yet.
     */
    boolean isConnected();
  }
}
