package loadbalancer.proxy.upstream;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/** Builds the request that is sent to an endpoint from the client's request. Stateless. */
final class ForwardedRequest {

  /**
   * The end-to-end headers that are forwarded. All others are dropped, such as those that concern
   * only the client's connection.
   */
  private static final List<String> FORWARDED_HEADERS =
      List.of(
          ProtocolHeaders.REQUEST_ID,
          ProtocolHeaders.IDEMPOTENCY_KEY,
          ProtocolHeaders.REQUEST_CLASS,
          ProtocolHeaders.TENANT,
          "Cookie",
          ProtocolHeaders.CLIENT_RETRY,
          ProtocolHeaders.COST_ESTIMATE,
          ProtocolHeaders.LABELS);

  private ForwardedRequest() {}

  /**
   * Returns the request to write to an endpoint. It shares the body of the client's request and
   * holds its own reference to it.
   *
   * @param request the client's request
   * @param host the endpoint's host
   * @param remainingMillis the time until the attempt times out
   */
  static FullHttpRequest create(FullHttpRequest request, String host, double remainingMillis) {
    FullHttpRequest forwarded =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            request.content().retainedDuplicate());
    forwarded.headers().set("Host", host);
    for (String name : FORWARDED_HEADERS) {
      String value = request.headers().get(name);
      if (value != null) {
        forwarded.headers().set(name, value);
      }
    }
    if (forwarded.content().isReadable() || forwarded.method().equals(HttpMethod.POST)) {
      forwarded.headers().set("Content-Length", forwarded.content().readableBytes());
    }
    // formatSeconds rounds down, so that the endpoint doesn't assume more time than is left.
    forwarded
        .headers()
        .set(ProtocolHeaders.REMAINING_TIME, ProtocolHeaders.formatSeconds(remainingMillis));
    return forwarded;
  }

  /**
   * Whether the policy may retry the request after an attempt that the endpoint may have executed.
   */
  static boolean isRetryable(FullHttpRequest request) {
    return !request.method().equals(HttpMethod.POST)
        || request.headers().contains(ProtocolHeaders.IDEMPOTENCY_KEY);
  }
}
