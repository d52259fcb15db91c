package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Thrown for a request that violates the protocol or cannot be received. Holds the status of its
 * error response; the exception's message is the body of that response.
 */
final class BadRequestException extends Exception {

  private static final long serialVersionUID = 1;
  private final transient HttpResponseStatus status;

  BadRequestException(HttpResponseStatus status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  BadRequestException(String message) {
    this(HttpResponseStatus.BAD_REQUEST, message);
  }

  /** The error for a request that is not complete after its timeout. */
  static BadRequestException tooSlow() {
    return new BadRequestException(HttpResponseStatus.REQUEST_TIMEOUT, "too slow");
  }

  /** The error for a request that is not complete at the end of a shutdown. */
  static BadRequestException tooLate() {
    return new BadRequestException(HttpResponseStatus.REQUEST_TIMEOUT, "too late");
  }

  /** The error for a request that is not complete while its descriptor is needed for others. */
  static BadRequestException noConnectionLeft() {
    return new BadRequestException(
        HttpResponseStatus.SERVICE_UNAVAILABLE, "no connection left for the request");
  }

  HttpResponseStatus status() {
    return status;
  }
}
