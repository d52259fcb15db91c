package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.regex.Pattern;
import loadbalancer.proxy.memory.MemoryExhaustedException;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * Validates the head of a request before its body arrives. The length of the body has to be
 * unambiguous, or an upstream could take part of the body for another request (request smuggling).
 */
final class RequestHeadValidator {

  private static final Pattern DIGITS = Pattern.compile("[0-9]{1,18}");

  private RequestHeadValidator() {}

  /**
   * Validates a head.
   *
   * @throws BadRequestException if the head is malformed, is not of HTTP's major version 1 ("not
   *     HTTP/1.1"), leaves the length of the body ambiguous, announces a body over the limit, or
   *     has an Expect header other than 100-continue ("unknown expectation")
   */
  static void validate(HttpRequest head) throws BadRequestException {
    if (!head.decoderResult().isSuccess()) {
      throw malformed(head.decoderResult().cause());
    }
    if (head.protocolVersion().majorVersion() != 1) {
      throw new BadRequestException(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "not HTTP/1.1");
    }
    validateBodyLength(head);
    String expectation = HeaderValues.single(head.headers(), HttpHeaderNames.EXPECT);
    if (expectation != null && !expectation.equalsIgnoreCase("100-continue")) {
      throw new BadRequestException(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
    }
  }

  /** The error for a body over {@link ProtocolHeaders#MAX_BODY_BYTES}. */
  static BadRequestException bodyTooLarge() {
    return new BadRequestException(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
  }

  /** The error for a request for which a memory budget has no room. */
  static BadRequestException noMemoryLeft() {
    return new BadRequestException(
        HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory left for the request");
  }

  /** The error for a head or a chunk that the decoder refused; its status depends on the reason. */
  static BadRequestException malformed(Throwable cause) {
    if (cause instanceof MemoryExhaustedException) {
      return noMemoryLeft();
    }
    HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
    if (cause instanceof TooLongHttpLineException) {
      status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
    } else if (cause instanceof TooLongHttpHeaderException) {
      status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    }
    return new BadRequestException(status, "malformed HTTP");
  }

  /**
   * Validates the headers that give the length of the body. Netty's decoder has already refused
   * most malformed values of Content-Length ("malformed HTTP"); "Content-Length is no length" is
   * left for the few that it accepts, such as a number of 19 digits.
   *
   * @throws BadRequestException if Transfer-Encoding occurs with Content-Length, with another value
   *     than chunked or in HTTP/1.0 ("the end of the body is in doubt"), if Content-Length is not a
   *     number of 1 to 18 digits ("Content-Length is no length"), or if the body is too large
   */
  private static void validateBodyLength(HttpRequest head) throws BadRequestException {
    HttpHeaders headers = head.headers();
    String transferEncoding = HeaderValues.single(headers, HttpHeaderNames.TRANSFER_ENCODING);
    String contentLength = HeaderValues.single(headers, HttpHeaderNames.CONTENT_LENGTH);
    if (transferEncoding != null
        && (contentLength != null
            || !transferEncoding.strip().equalsIgnoreCase("chunked")
            || head.protocolVersion().equals(HttpVersion.HTTP_1_0))) {
      throw new BadRequestException("the end of the body is in doubt");
    }
    if (contentLength != null && !DIGITS.matcher(contentLength).matches()) {
      throw new BadRequestException("Content-Length is no length");
    }
    if (contentLength != null && Long.parseLong(contentLength) > ProtocolHeaders.MAX_BODY_BYTES) {
      throw bodyTooLarge();
    }
  }
}
