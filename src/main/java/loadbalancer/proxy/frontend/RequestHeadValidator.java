package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.regex.Pattern;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * Validates a request's head before its body arrives. The end of the body has to be unambiguous, or
 * an upstream could read part of it as another request (request smuggling).
 */
final class RequestHeadValidator {

  private static final Pattern DIGITS = Pattern.compile("[0-9]{1,18}");

  private RequestHeadValidator() {}

  /** Throws the error to respond with if the head is malformed or not supported. */
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

  private static BadRequestException malformed(Throwable cause) {
    HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
    if (cause instanceof TooLongHttpLineException) {
      status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
    } else if (cause instanceof TooLongHttpHeaderException) {
      status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    }
    return new BadRequestException(status, "malformed HTTP");
  }

  private static void validateBodyLength(HttpRequest head) throws BadRequestException {
    HttpHeaders headers = head.headers();
    String coding = HeaderValues.single(headers, HttpHeaderNames.TRANSFER_ENCODING);
    String length = HeaderValues.single(headers, HttpHeaderNames.CONTENT_LENGTH);
    if (coding != null
        && (length != null
            || !coding.strip().equalsIgnoreCase("chunked")
            || head.protocolVersion().equals(HttpVersion.HTTP_1_0))) {
      throw new BadRequestException("the end of the body is in doubt");
    }
    if (length != null && !DIGITS.matcher(length).matches()) {
      throw new BadRequestException("Content-Length is no length");
    }
    if (length != null && Long.parseLong(length) > ProtocolHeaders.MAX_BODY_BYTES) {
      throw bodyTooLarge();
    }
  }
}
