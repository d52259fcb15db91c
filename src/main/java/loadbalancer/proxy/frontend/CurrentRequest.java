package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/** The request of a connection that is processed at present, if any. */
final class CurrentRequest {

  private final Frontend frontend;
  private final RequestDispatcher dispatcher;
  private final ClientConnection connection;

  private FullHttpRequest request;

  /** Identifies the request once it has passed validation. */
  private String requestId;

  /** The request once {@link RequestDispatcher#dispatch} has returned. */
  private RequestDispatcher.DispatchedRequest dispatched;

  CurrentRequest(Frontend frontend, RequestDispatcher dispatcher, ClientConnection connection) {
    this.frontend = frontend;
    this.dispatcher = dispatcher;
    this.connection = connection;
  }

  /** Takes over a reference to the request that is processed from now on. */
  void begin(FullHttpRequest begun) {
    request = begun;
  }

  boolean isPresent() {
    return request != null;
  }

  /** Whether it is processed but its dispatch has not returned. */
  boolean isBeingDispatched() {
    return request != null && dispatched == null;
  }

  boolean wantsKeepAlive() {
    return request != null && HttpUtil.isKeepAlive(request);
  }

  /**
   * Validates the request and passes it on.
   *
   * @param arrivedAt when it arrived, in milliseconds of the event loop's clock
   */
  void dispatch(double arrivedAt) throws BadRequestException {
    ValidatedRequest validated = frontend.validate(request, arrivedAt);
    claim(validated.requestId());
    RequestDispatcher.DispatchedRequest result =
        dispatcher.dispatch(validated::toClientRequest, request.retain(), connection);
    // If the response is already written, the next request may be the current one.
    if (result.isOpen()) {
      dispatched = result;
    }
  }

  /** Reserves the request ID, which only one request in flight may have. */
  private void claim(String claimedId) throws BadRequestException {
    ClientConnection owner = frontend.connectionWaitingFor(claimedId);
    // A client that has disconnected may send its request again on another connection.
    if (owner != null && !owner.isConnected()) {
      owner.abandonCurrentRequest();
    }
    if (frontend.connectionWaitingFor(claimedId) != null) {
      throw new BadRequestException(
          HttpResponseStatus.CONFLICT, ProtocolHeaders.REQUEST_ID + " is at work");
    }
    requestId = claimedId;
    frontend.onRequestStarted(claimedId, connection);
  }

  /** No request is current any more. */
  void finish() {
    if (requestId != null) {
      frontend.onRequestFinished(requestId);
      requestId = null;
    }
    if (request != null) {
      request.release();
      request = null;
    }
    dispatched = null;
  }

  /** Gives the request up because nobody waits for its response. */
  void abandon() {
    RequestDispatcher.DispatchedRequest abandoned = dispatched;
    finish();
    if (abandoned != null) {
      abandoned.clientDisconnected();
    }
  }
}
