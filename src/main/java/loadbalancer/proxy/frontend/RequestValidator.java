package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import loadbalancer.model.Idempotency;
import loadbalancer.model.RequestClass;
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/** Validates complete requests against the platform's protocol before any part is forwarded. */
public final class RequestValidator {

  private static final int MILLIS_PER_SECOND = 1_000;

  /** The cost estimate is in microseconds on the wire. */
  private static final int MICROS_PER_MILLI = 1_000;

  /**
   * Time before the client's deadline that is reserved for the final response to reach it, and the
   * largest share of the client's time that the reserve may take. While the event loop is late, so
   * are its responses, and a larger share may be reserved.
   */
  private static final double RESPONSE_RESERVE_MILLIS = 40;

  private static final double MAX_RESPONSE_RESERVE_SHARE = 0.1;
  private static final double MAX_LATE_RESPONSE_RESERVE_SHARE = 0.25;

  private static final Pattern TARGET = Pattern.compile("/[!-~]{0,2047}");
  private static final String KEY_COOKIE = "key";
  private static final int HEXADECIMAL = 16;

  private final ProxyConfig config;
  private final Map<String, Integer> requestClassIndexes = new HashMap<>();

  /** Accepts requests of the classes and tenants that the configuration names. */
  public RequestValidator(ProxyConfig config) {
    this.config = config;
    List<String> names = config.requestClasses();
    for (int i = 0; i < names.size(); i++) {
      requestClassIndexes.put(names.get(i), i);
    }
  }

  /**
   * Validates a complete request.
   *
   * @param arrivedAt when the request arrived, in milliseconds of the event loop's clock
   * @param lateness how late the event loop has recently been, in milliseconds
   * @throws BadRequestException if the request violates the protocol
   */
  public ValidatedRequest read(FullHttpRequest request, double arrivedAt, double lateness)
      throws BadRequestException {
    if (!TARGET.matcher(request.uri()).matches()) {
      throw new BadRequestException("the target is no path");
    }
    HttpHeaders headers = request.headers();
    int requestClassIndex = readRequestClass(request);
    RequestClass requestClass = config.settings().requestClasses().get(requestClassIndex);
    validateMethod(request, requestClass);
    validateIdempotencyKey(headers, requestClass);
    String requestId = readRequestId(headers);
    int tenant = readTenant(headers);
    double timeoutMillis = readTimeoutMillis(headers, requestClass);
    double costEstimate = HeaderValues.decimal(headers, ProtocolHeaders.COST_ESTIMATE);
    return new ValidatedRequest(
        requestId,
        requestClassIndex,
        tenant,
        parseKey(HeaderValues.single(headers, "Cookie")),
        arrivedAt + withoutResponseReserve(timeoutMillis, lateness),
        Double.isNaN(costEstimate) ? 0 : costEstimate / MICROS_PER_MILLI,
        ProtocolHeaders.FLAG_SET.equals(HeaderValues.single(headers, ProtocolHeaders.CLIENT_RETRY)),
        !isGet(request));
  }

  private static boolean isGet(FullHttpRequest request) {
    return request.method().equals(HttpMethod.GET);
  }

  private int readRequestClass(FullHttpRequest request) throws BadRequestException {
    String name = HeaderValues.single(request.headers(), ProtocolHeaders.REQUEST_CLASS);
    Integer index = requestClassIndexes.get(name);
    if (index == null || !name.equals(firstPathSegment(request.uri()))) {
      throw new BadRequestException("unknown class");
    }
    return index;
  }

  private static String firstPathSegment(String uri) {
    String[] parts = uri.split("[/?]", 3);
    return parts.length > 1 ? parts[1] : "";
  }

  private static void validateMethod(FullHttpRequest request, RequestClass requestClass)
      throws BadRequestException {
    boolean get = isGet(request);
    if (get != (requestClass.idempotency() == Idempotency.IDEMPOTENT)
        || (!get && !request.method().equals(HttpMethod.POST))) {
      throw new BadRequestException("the class wants another method");
    }
    if (get && request.content().isReadable()) {
      throw new BadRequestException("a body that nobody reads");
    }
  }

  private static void validateIdempotencyKey(HttpHeaders headers, RequestClass requestClass)
      throws BadRequestException {
    boolean present = HeaderValues.token(headers, ProtocolHeaders.IDEMPOTENCY_KEY) != null;
    boolean required = requestClass.idempotency() == Idempotency.DEDUPLICATED;
    if (present != required) {
      throw new BadRequestException("the class wants Idempotency-Key otherwise");
    }
  }

  private static String readRequestId(HttpHeaders headers) throws BadRequestException {
    String requestId = HeaderValues.token(headers, ProtocolHeaders.REQUEST_ID);
    if (requestId == null) {
      throw new BadRequestException(ProtocolHeaders.REQUEST_ID + " is missing");
    }
    return requestId;
  }

  private int readTenant(HttpHeaders headers) throws BadRequestException {
    String name = HeaderValues.single(headers, ProtocolHeaders.TENANT);
    int index = config.tenants().isEmpty() || name == null ? 0 : config.tenants().indexOf(name);
    if (index < 0) {
      throw new BadRequestException("unknown tenant");
    }
    return index;
  }

  /** The time that the client waits; no client waits longer than its request class says. */
  private static double readTimeoutMillis(HttpHeaders headers, RequestClass requestClass)
      throws BadRequestException {
    double remainingSeconds = HeaderValues.decimal(headers, ProtocolHeaders.REMAINING_TIME);
    if (Double.isNaN(remainingSeconds)) {
      throw new BadRequestException(ProtocolHeaders.REMAINING_TIME + " is missing");
    }
    return Math.min(requestClass.deadlineMillis(), remainingSeconds * MILLIS_PER_SECOND);
  }

  private static double withoutResponseReserve(double timeoutMillis, double latenessMillis) {
    double usualReserve =
        Math.min(RESPONSE_RESERVE_MILLIS, MAX_RESPONSE_RESERVE_SHARE * timeoutMillis);
    double lateReserve = Math.min(latenessMillis, MAX_LATE_RESPONSE_RESERVE_SHARE * timeoutMillis);
    return timeoutMillis - Math.max(usualReserve, lateReserve);
  }

  /** What the request is about, as the cookie {@code key} says; 0 for none. */
  private static long parseKey(String cookies) {
    if (cookies == null) {
      return 0;
    }
    for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
      if (cookie.name().equals(KEY_COOKIE)) {
        return parseKeyValue(cookie.value());
      }
    }
    return 0;
  }

  private static long parseKeyValue(String value) {
    try {
      return Long.parseUnsignedLong(value, HEXADECIMAL);
    } catch (NumberFormatException e) {
      return value.hashCode();
    }
  }
}
