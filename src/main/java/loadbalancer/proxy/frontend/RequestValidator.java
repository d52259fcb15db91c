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

/** Validates a complete request against the platform's protocol before any of it is forwarded. */
public final class RequestValidator {

  private static final int MILLIS_PER_SECOND = 1_000;

  /** The header field of the cost estimate is in microseconds. */
  private static final int MICROS_PER_MILLI = 1_000;

  /**
   * Time reserved before the client's deadline, in which the final response can reach the client.
   */
  private static final double RESPONSE_RESERVE_MILLIS = 40;

  /** The largest share of the client's timeout that this reserve may take. */
  private static final double MAX_RESPONSE_RESERVE_SHARE = 0.1;

  /**
   * The largest share of the client's timeout that is reserved while the event loop is late: its
   * responses are then late too.
   */
  private static final double MAX_LATE_RESPONSE_RESERVE_SHARE = 0.25;

  /** A path with an optional query, of at most 2048 characters of visible ASCII. */
  private static final Pattern TARGET = Pattern.compile("/[!-~]{0,2047}");

  private static final String ORDERING_KEY_COOKIE = "key";
  private static final int HEXADECIMAL = 16;

  private final ProxyConfig config;
  private final Map<String, Integer> requestClassIndexes = new HashMap<>();

  /** Creates a validator for the request classes and tenants of the configuration. */
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
   * @param arrivedAtMillis the earliest time at which the request may have arrived, in milliseconds
   *     of the instance's clock
   * @param latenessMillis how late the event loop has recently been
   * @throws BadRequestException if the request violates the protocol; "the target is no path" if
   *     the request target is not a path that begins with a slash, has over 2048 characters or
   *     others than visible ASCII
   */
  public ValidatedRequest validate(
      FullHttpRequest request, double arrivedAtMillis, double latenessMillis)
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
        parseOrderingKey(HeaderValues.single(headers, "Cookie")),
        arrivedAtMillis + withoutResponseReserve(timeoutMillis, latenessMillis),
        Double.isNaN(costEstimate) ? 0 : costEstimate / MICROS_PER_MILLI,
        ProtocolHeaders.FLAG_SET.equals(HeaderValues.single(headers, ProtocolHeaders.CLIENT_RETRY)),
        !isGet(request));
  }

  private static boolean isGet(FullHttpRequest request) {
    return request.method().equals(HttpMethod.GET);
  }

  /**
   * Returns the index of the request class.
   *
   * @throws BadRequestException ("unknown class") if the header field is missing, names no
   *     configured class, or differs from the first segment of the path
   */
  private int readRequestClass(FullHttpRequest request) throws BadRequestException {
    String className = HeaderValues.single(request.headers(), ProtocolHeaders.REQUEST_CLASS);
    Integer index = requestClassIndexes.get(className);
    if (index == null || !className.equals(firstPathSegment(request.uri()))) {
      throw new BadRequestException("unknown class");
    }
    return index;
  }

  private static String firstPathSegment(String uri) {
    String[] segments = uri.split("[/?]", 3);
    return segments.length > 1 ? segments[1] : "";
  }

  /**
   * Validates the method and the presence of a body.
   *
   * @throws BadRequestException if the request is not a GET although its class is idempotent, or
   *     not a POST although it is not ("the class wants another method"), or if a GET has a body
   *     ("a body that nobody reads")
   */
  private static void validateMethod(FullHttpRequest request, RequestClass requestClass)
      throws BadRequestException {
    boolean isGet = isGet(request);
    if (isGet != (requestClass.idempotency() == Idempotency.IDEMPOTENT)
        || (!isGet && !request.method().equals(HttpMethod.POST))) {
      throw new BadRequestException("the class wants another method");
    }
    if (isGet && request.content().isReadable()) {
      throw new BadRequestException("a body that nobody reads");
    }
  }

  /**
   * Validates the presence of the idempotency key.
   *
   * @throws BadRequestException ("the class wants Idempotency-Key otherwise") if the key is missing
   *     although the request class is deduplicated, or present although it is not
   */
  private static void validateIdempotencyKey(HttpHeaders headers, RequestClass requestClass)
      throws BadRequestException {
    boolean hasKey = HeaderValues.token(headers, ProtocolHeaders.IDEMPOTENCY_KEY) != null;
    boolean requiresKey = requestClass.idempotency() == Idempotency.DEDUPLICATED;
    if (hasKey != requiresKey) {
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

  /**
   * Returns the index of the tenant; 0 if none is configured or the request names none.
   *
   * @throws BadRequestException ("unknown tenant") if the request names one that is not configured
   */
  private int readTenant(HttpHeaders headers) throws BadRequestException {
    String tenantName = HeaderValues.single(headers, ProtocolHeaders.TENANT);
    int index =
        config.tenants().isEmpty() || tenantName == null ? 0 : config.tenants().indexOf(tenantName);
    if (index < 0) {
      throw new BadRequestException("unknown tenant");
    }
    return index;
  }

  /** The time that the client waits, which is at most the deadline of the request class. */
  private static double readTimeoutMillis(HttpHeaders headers, RequestClass requestClass)
      throws BadRequestException {
    double remainingSeconds = HeaderValues.decimal(headers, ProtocolHeaders.REMAINING_TIME);
    if (Double.isNaN(remainingSeconds)) {
      throw new BadRequestException(ProtocolHeaders.REMAINING_TIME + " is missing");
    }
    return Math.min(requestClass.deadlineMillis(), remainingSeconds * MILLIS_PER_SECOND);
  }

  /** The client's timeout without the time reserved for the response to reach the client. */
  private static double withoutResponseReserve(double timeoutMillis, double latenessMillis) {
    double usualReserveMillis =
        Math.min(RESPONSE_RESERVE_MILLIS, MAX_RESPONSE_RESERVE_SHARE * timeoutMillis);
    double lateReserveMillis =
        Math.min(latenessMillis, MAX_LATE_RESPONSE_RESERVE_SHARE * timeoutMillis);
    return timeoutMillis - Math.max(usualReserveMillis, lateReserveMillis);
  }

  /** The ordering key from the cookie {@code key}; 0 if there is none. */
  private static long parseOrderingKey(String cookies) {
    if (cookies == null) {
      return 0;
    }
    for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
      if (cookie.name().equals(ORDERING_KEY_COOKIE)) {
        return parseOrderingKeyValue(cookie.value());
      }
    }
    return 0;
  }

  /** Reads a hexadecimal number of up to 64 bits; any other value is replaced by its hash code. */
  private static long parseOrderingKeyValue(String value) {
    try {
      return Long.parseUnsignedLong(value, HEXADECIMAL);
    } catch (NumberFormatException e) {
      return value.hashCode();
    }
  }
}
