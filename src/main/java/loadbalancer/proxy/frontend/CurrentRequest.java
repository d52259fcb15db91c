package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/** The request of a client connection that is being processed; a connection has one at most. */
final class CurrentRequest {

  private final Frontend frontend;
  private final RequestDispatcher dispatcher;
  private final ClientConnection connection;

  private FullHttpRequest request;

  /** The ID of the request, once it has been reserved for it; null before. */
  private String requestId;

  /** Set once {@link RequestDispatcher#dispatch} has returned, if a response is due then. */
  private RequestDispatcher.DispatchedRequest dispatched;

  CurrentRequest(Frontend frontend, RequestDispatcher dispatcher, ClientConnection connection) {
    this.frontend = frontend;
    this.dispatcher = dispatcher;
    this.connection = connection;
  }

  /** Begins to process a request; takes ownership of one reference to it. */
  void begin(FullHttpRequest newRequest) {
    request = newRequest;
  }

  boolean isPresent() {
    return request != null;
  }

  /** Whether a request is being processed whose dispatch has not returned yet. */
  boolean isBeingDispatched() {
    return request != null && dispatched == null;
  }

  boolean wantsKeepAlive() {
    return request != null && HttpUtil.isKeepAlive(request);
  }

  /**
   * Validates the request and passes it to the dispatcher.
   *
   * @param arrivedAtMillis the earliest time at which the request may have arrived
   * @throws BadRequestException if the request violates the protocol, or its ID is that of another
   *     request in flight
   */
  void dispatch(double arrivedAtMillis) throws BadRequestException {
    ValidatedRequest validated = frontend.validate(request, arrivedAtMillis);
    reserveId(validated.requestId());
    RequestDispatcher.DispatchedRequest result =
        dispatcher.dispatch(validated::toClientRequest, request.retain(), connection);
    // If the response was written during the dispatch, a later request may be the current one.
    if (result.isAwaitingResponse()) {
      dispatched = result;
    }
  }

  /**
   * Reserves an ID for the request.
   *
   * @throws BadRequestException ("is at work") if a request in flight has the same ID and its
   *     client is still connected: IDs have to be unique among the requests in flight
   */
  private void reserveId(String newId) throws BadRequestException {
    ClientConnection owner = frontend.connectionWaitingFor(newId);
    // A client that has disconnected may send its request again on another connection.
    if (owner != null && !owner.isConnected()) {
      owner.abandonCurrentRequest();
    }
    if (frontend.connectionWaitingFor(newId) != null) {
      throw new BadRequestException(
          HttpResponseStatus.CONFLICT, ProtocolHeaders.REQUEST_ID + " is at work");
    }
    requestId = newId;
    frontend.onRequestStarted(newId, connection);
  }

  /** Ends the processing of the request: releases it and its ID. */
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

  /** Ends the processing of the request without a response, and notifies the dispatcher. */
  void abandon() {
    RequestDispatcher.DispatchedRequest abandoned = dispatched;
    finish();
    if (abandoned != null) {
      abandoned.clientDisconnected();
    }
  }
}
