package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * The header fields of a request that are still used once it is complete. A request with very many
 * fields keeps only these, as it may be held for long.
 */
final class UsedHeaders {

  /** Requests with at most this many fields keep all of them, which costs less than a copy. */
  private static final int MAX_FIELDS_KEPT = 32;

  private static final List<CharSequence> NAMES =
      List.of(
          ProtocolHeaders.REQUEST_ID,
          ProtocolHeaders.REQUEST_CLASS,
          ProtocolHeaders.TENANT,
          ProtocolHeaders.CLIENT_RETRY,
          ProtocolHeaders.REMAINING_TIME,
          ProtocolHeaders.COST_ESTIMATE,
          ProtocolHeaders.IDEMPOTENCY_KEY,
          ProtocolHeaders.LABELS,
          HttpHeaderNames.COOKIE,
          HttpHeaderNames.CONNECTION);

  private UsedHeaders() {}

  /** Returns the fields of a request to keep; repeated fields remain repeated. */
  static HttpHeaders of(HttpHeaders headers) {
    if (headers.size() <= MAX_FIELDS_KEPT) {
      return headers;
    }
    HttpHeaders used = new DefaultHttpHeaders();
    for (CharSequence name : NAMES) {
      used.add(name, headers.getAll(name));
    }
    return used;
  }
}
