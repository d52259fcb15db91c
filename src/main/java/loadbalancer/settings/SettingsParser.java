package loadbalancer.settings;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import loadbalancer.model.CostSettings;
import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.Idempotency;
import loadbalancer.model.LimitSettings;
import loadbalancer.model.LoadReportMode;
import loadbalancer.model.PolicySettings;
import loadbalancer.model.RequestClass;
import loadbalancer.model.RuleSettings;
import loadbalancer.model.Tenant;

/**
 * Turns the platform's {@code path=value} lines into {@link PolicySettings}. This is the only place
 * that knows the platform's names of settings; docs/GLOSSARY.md explains them. Not thread-safe.
 */
public final class SettingsParser {

  private static final int MAX_LIST_ITEMS = 10_000;

  private static final Map<String, Boolean> EXPLICIT_WATCH =
      Map.of("automatic", false, "subscribe", true);

  private static final Map<String, Boolean> PRIORITY_BY_WORK =
      Map.of("request", false, "work", true);

  private static final Map<String, LoadReportMode> LOAD_REPORT_MODES =
      Map.of(
          "piggyback", LoadReportMode.PIGGYBACK,
          "pull", LoadReportMode.HEALTH_CHECK,
          "silent", LoadReportMode.NONE);

  private static final Map<String, Idempotency> IDEMPOTENCIES =
      Map.of(
          "idempotent", Idempotency.IDEMPOTENT,
          "deduplicated", Idempotency.DEDUPLICATED,
          "at_most_once", Idempotency.AT_MOST_ONCE);

  private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
      Map.of(
          "all", DeduplicationScope.ALL,
          "zone", DeduplicationScope.ZONE,
          "cell", DeduplicationScope.GROUP);

  /** The value of each setting. Looked up by key only, never iterated. */
  private final Map<String, String> values = new HashMap<>();

  private SettingsParser(String text) {
    int lineNumber = 0;
    for (String line : text.split("\n", -1)) {
      lineNumber++;
      String trimmed = line.strip();
      if (trimmed.isEmpty()) {
        continue;
      }
      int equals = trimmed.indexOf('=');
      if (equals <= 0) {
        throw new MalformedInputException("settings line " + lineNumber + " is no path=value pair");
      }
      values.put(trimmed.substring(0, equals), trimmed.substring(equals + 1));
    }
  }

  /**
   * Parses the lines, in UTF-8.
   *
   * @throws MalformedInputException if a setting is missing or has a bad value; the message names
   *     its key
   */
  public static PolicySettings parse(byte[] text) {
    try {
      String decoded = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text)).toString();
      return new SettingsParser(decoded).settings();
    } catch (CharacterCodingException e) {
      throw new MalformedInputException("the settings are not UTF-8");
    }
  }

  private PolicySettings settings() {
    text("services.count");
    int instanceIndex = integer("position");
    int instanceCount = integer("siblings");
    int tier = integer("tier");
    requireNames("stages");
    int zone = integer("zone");
    requireNames("zones");
    int machineTypeCount = Math.max(1, names("machineTypes").size());
    boolean explicitWatch = choice("registryMode", EXPLICIT_WATCH);
    requireProtocolHints();
    boolean priorityByWork = choice("worthBy", PRIORITY_BY_WORK);
    requireNumberIfPresent("overShareWorth");
    requireOneOf("weightKind", Set.of("silent", "nominal", "rough", "live"));
    LoadReportMode loadReportMode = choice("stats.how", LOAD_REPORT_MODES);
    List<String> loadReportFields = names("stats.fields");
    List<RequestClass> requestClasses = items("services", this::requestClass);
    List<Tenant> tenants = items("tenants", this::tenant);
    LimitSettings limits = limits();
    RuleSettings rules = rules();
    double worstClassWeight = worstClassWeight();
    CostSettings costs = costs();
    return new PolicySettings(
        instanceIndex,
        instanceCount,
        tier,
        zone,
        machineTypeCount,
        explicitWatch,
        priorityByWork,
        worstClassWeight,
        loadReportMode,
        loadReportFields,
        requestClasses,
        tenants,
        limits,
        rules,
        costs);
  }

  private void requireProtocolHints() {
    requireBoolIfPresent("familyInfo.passesDeadline");
    requireBoolIfPresent("familyInfo.warmKeys");
    requireBoolIfPresent("callers.marksRetry");
  }

  private RequestClass requestClass(String path) {
    Idempotency idempotency = choice(path + "idempotency", IDEMPOTENCIES);
    boolean deduplicated = idempotency == Idempotency.DEDUPLICATED;
    DeduplicationScope scope =
        deduplicated ? choice(path + "group", DEDUPLICATION_SCOPES) : DeduplicationScope.ALL;
    return new RequestClass(
        text(path + "name"),
        number(path + "aim"),
        number(path + "aimStretch", 0),
        number(path + "deadline"),
        number(path + "worth"),
        number(path + "lateValue"),
        idempotency,
        scope,
        deduplicated ? number(path + "memorySpan") : 0,
        bool(path + "streamed"),
        bool(path + "byArrival", false),
        indices(path + "runsIn"),
        indices(path + "boundTo"));
  }

  private Tenant tenant(String path) {
    String name = text(path + "name");
    requireNumber(path + "fraction");
    requireNumber(path + "quotaPerS");
    return new Tenant(name);
  }

  private LimitSettings limits() {
    int maxAttempts = integer("limits.attemptsCap");
    requireInteger("limits.maxOpen");
    boolean cancellation = bool("limits.cancel");
    boolean parallelAttempts = bool("limits.parallelTries");
    requireBool("limits.probes");
    requireBool("limits.peers");
    boolean retryAfterAdvice = bool("limits.retryAfter");
    double maxRetryAfterMillis = number("limits.maxRetryAfter");
    double connectTimeoutMillis = number("limits.connectTimeout");
    double idleTimeoutMillis = number("limits.connIdle");
    requireInteger("limits.streamsPerConn");
    requireNumberIfPresent("limits.cpuUsPerRequest");
    requireNumberIfPresent("limits.cpuUsPerS");
    return new LimitSettings(
        maxAttempts,
        cancellation,
        parallelAttempts,
        retryAfterAdvice,
        maxRetryAfterMillis,
        connectTimeoutMillis,
        idleTimeoutMillis);
  }

  private RuleSettings rules() {
    double responseGraceMillis = number("rules.graceToAnswer");
    double drainGraceMillis = number("rules.drainGrace");
    double pollIntervalMillis = number("rules.askEvery");
    double initialCapacity = number("rules.startCapacity");
    double warmUpMillis = number("rules.warmUp");
    double collapseMultiple = number("rules.fallMultiple");
    requireNumber("rules.tipAfter");
    double keySettleMillis = number("rules.orderSettle", 0);
    return new RuleSettings(
        responseGraceMillis,
        drainGraceMillis,
        pollIntervalMillis,
        initialCapacity,
        warmUpMillis,
        collapseMultiple,
        keySettleMillis);
  }

  private double worstClassWeight() {
    requireNumber("goal.whole");
    requireNumber("goal.worstWindow");
    double worstClassWeight = number("goal.worstClass");
    requireNumber("goal.worstTenant");
    requireNumberIfPresent("goal.tail");
    requireNumberIfPresent("goal.tailMiss");
    requireNumberIfPresent("goal.logLossPart");
    requireNumberIfPresent("goal.topNines");
    return worstClassWeight;
  }

  private CostSettings costs() {
    double crossZoneCost = number("prices.crossZone");
    requireNumber("prices.probe");
    requireNumber("prices.waste");
    requireNumber("prices.lateFail");
    double connectionCost = number("prices.connection");
    double handshakeCost = number("prices.handshake");
    requireNumber("prices.peer");
    requireNumber("prices.registryMode");
    return new CostSettings(crossZoneCost, connectionCost, handshakeCost);
  }

  // Settings that no decision depends on are still checked, so that a malformed file is reported.

  private void requireNames(String key) {
    text(key);
  }

  private void requireNumber(String key) {
    number(key);
  }

  private void requireNumberIfPresent(String key) {
    number(key, 0);
  }

  private void requireInteger(String key) {
    integer(key);
  }

  private void requireBool(String key) {
    bool(key);
  }

  private void requireBoolIfPresent(String key) {
    bool(key, false);
  }

  private void requireOneOf(String key, Set<String> accepted) {
    if (!accepted.contains(text(key))) {
      throw invalid(key);
    }
  }

  private String text(String key) {
    String value = values.get(key);
    if (value == null) {
      throw new MalformedInputException("setting " + key + " is missing");
    }
    return value;
  }

  /** A finite number. */
  private double number(String key) {
    try {
      double value = Double.parseDouble(text(key));
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      // reported below, like a value that is not finite
    }
    throw invalid(key);
  }

  private double number(String key, double fallback) {
    return values.containsKey(key) ? number(key) : fallback;
  }

  private int integer(String key) {
    try {
      return Integer.parseInt(text(key));
    } catch (NumberFormatException e) {
      throw invalid(key);
    }
  }

  private boolean bool(String key) {
    return choice(key, Map.of("true", true, "false", false));
  }

  private boolean bool(String key, boolean fallback) {
    return values.containsKey(key) ? bool(key) : fallback;
  }

  private <T> T choice(String key, Map<String, T> choices) {
    T value = choices.get(text(key));
    if (value == null) {
      throw invalid(key);
    }
    return value;
  }

  private List<String> names(String key) {
    String value = text(key);
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }

  /** Indices of the list; null where the key is absent, which is not the same as an empty list. */
  private List<Integer> indices(String key) {
    if (!values.containsKey(key)) {
      return null;
    }
    List<Integer> indices = new ArrayList<>();
    for (String name : names(key)) {
      try {
        indices.add(Integer.parseUnsignedInt(name));
      } catch (NumberFormatException e) {
        throw invalid(key);
      }
    }
    return List.copyOf(indices);
  }

  private <T> List<T> items(String key, Function<String, T> parser) {
    // A configuration without tenants leaves the whole list out.
    int count = values.containsKey(key + ".count") ? integer(key + ".count") : 0;
    if (count < 0 || count > MAX_LIST_ITEMS) {
      throw invalid(key + ".count");
    }
    List<T> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      items.add(parser.apply(key + "." + i + "."));
    }
    return List.copyOf(items);
  }

  private MalformedInputException invalid(String key) {
    return new MalformedInputException("setting " + key + " has the bad value '" + text(key) + "'");
  }
}
