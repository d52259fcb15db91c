package loadbalancer.settings;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
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
 * Parses the policy settings that the deployment platform supplies as {@code key=value} lines into
 * {@link PolicySettings}. Keys are dotted paths such as {@code limits.connIdle}; those of list
 * items contain the item's index, as in {@code services.0.name}. Unknown keys are ignored. Only
 * this class knows the platform's names of settings; docs/GLOSSARY.md explains them. Not
 * thread-safe.
 */
public final class SettingsParser {

  /** The largest value that a list's {@code .count} setting may have. */
  private static final int MAX_LIST_ITEMS = 10_000;

  /** Values of {@code registryMode}: whether discovery notifies only instances that watch it. */
  private static final Map<String, Boolean> EXPLICIT_WATCH =
      Map.of("automatic", false, "subscribe", true);

  /**
   * Values of {@code worthBy}: whether priority weights count per unit of work, not per request.
   */
  private static final Map<String, Boolean> PRIORITY_BY_WORK =
      Map.of("request", false, "work", true);

  /** Values of {@code stats.how}. */
  private static final Map<String, LoadReportMode> LOAD_REPORT_MODES =
      Map.of(
          "piggyback", LoadReportMode.PIGGYBACK,
          "pull", LoadReportMode.HEALTH_CHECK,
          "silent", LoadReportMode.NONE);

  /** Values of {@code services.N.idempotency}. */
  private static final Map<String, Idempotency> IDEMPOTENCIES =
      Map.of(
          "idempotent", Idempotency.IDEMPOTENT,
          "deduplicated", Idempotency.DEDUPLICATED,
          "at_most_once", Idempotency.AT_MOST_ONCE);

  /** Values of {@code services.N.group}. */
  private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
      Map.of(
          "all", DeduplicationScope.ALL,
          "zone", DeduplicationScope.ZONE,
          "cell", DeduplicationScope.GROUP);

  /** Setting values by key. Never iterated, as the iteration order of a hash map is arbitrary. */
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
        throw new MalformedInputException(
            "settings line " + lineNumber + " is not of the form key=value");
      }
      values.put(trimmed.substring(0, equals), trimmed.substring(equals + 1));
    }
  }

  /**
   * Parses settings from lines in UTF-8.
   *
   * @throws MalformedInputException if a required setting is missing or a setting has an invalid
   *     value, with a message that names its key; also if a line is not of the form key=value or
   *     the text is not UTF-8
   */
  public static PolicySettings parse(byte[] text) {
    try {
      String decoded = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text)).toString();
      return new SettingsParser(decoded).parseSettings();
    } catch (CharacterCodingException e) {
      throw new MalformedInputException("the settings are not valid UTF-8");
    }
  }

  private PolicySettings parseSettings() {
    // Fails if absent, whereas parseItems() takes a missing count for an empty list.
    requiredText("services.count");
    int instanceIndex = integer("position");
    int instanceCount = integer("siblings");
    int tier = integer("tier");
    requirePresent("stages");
    int zone = integer("zone");
    requirePresent("zones");
    int machineTypeCount = Math.max(1, commaSeparated("machineTypes").size());
    boolean explicitWatch = choice("registryMode", EXPLICIT_WATCH);
    validateUpstreamAndClientHints();
    boolean priorityByWork = choice("worthBy", PRIORITY_BY_WORK);
    requireNumberIfPresent("overShareWorth");
    requireOneOf("weightKind", Set.of("silent", "nominal", "rough", "live"));
    LoadReportMode loadReportMode = choice("stats.how", LOAD_REPORT_MODES);
    List<String> loadReportFields = commaSeparated("stats.fields");
    List<RequestClass> requestClasses = parseItems("services", this::parseRequestClass);
    List<Tenant> tenants = parseItems("tenants", this::parseTenant);
    LimitSettings limits = parseLimits();
    RuleSettings rules = parseRules();
    double worstClassWeight = parseGoal();
    CostSettings costs = parseCosts();
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

  private void validateUpstreamAndClientHints() {
    requireBoolIfPresent("familyInfo.passesDeadline");
    requireBoolIfPresent("familyInfo.warmKeys");
    requireBoolIfPresent("callers.marksRetry");
  }

  private RequestClass parseRequestClass(String keyPrefix) {
    Idempotency idempotency = choice(keyPrefix + "idempotency", IDEMPOTENCIES);
    boolean deduplicated = idempotency == Idempotency.DEDUPLICATED;
    DeduplicationScope scope =
        deduplicated ? choice(keyPrefix + "group", DEDUPLICATION_SCOPES) : DeduplicationScope.ALL;
    return new RequestClass(
        requiredText(keyPrefix + "name"),
        number(keyPrefix + "aim"),
        number(keyPrefix + "aimStretch", 0),
        number(keyPrefix + "deadline"),
        number(keyPrefix + "worth"),
        number(keyPrefix + "lateValue"),
        idempotency,
        scope,
        deduplicated ? number(keyPrefix + "memorySpan") : 0,
        bool(keyPrefix + "streamed"),
        bool(keyPrefix + "byArrival", false),
        indices(keyPrefix + "runsIn"),
        indices(keyPrefix + "boundTo"));
  }

  private Tenant parseTenant(String keyPrefix) {
    String name = requiredText(keyPrefix + "name");
    requireNumber(keyPrefix + "fraction");
    requireNumber(keyPrefix + "quotaPerS");
    return new Tenant(name);
  }

  private LimitSettings parseLimits() {
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

  private RuleSettings parseRules() {
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

  /**
   * Validates the weights of the platform's score; only that of the worst request class is used.
   */
  private double parseGoal() {
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

  private CostSettings parseCosts() {
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

  // The require... methods validate settings that the policy does not use, so that mistakes in
  // them are reported too.

  private void requirePresent(String key) {
    requiredText(key);
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
    if (!accepted.contains(requiredText(key))) {
      throw invalid(key, "one of " + new TreeSet<>(accepted));
    }
  }

  private String requiredText(String key) {
    String value = values.get(key);
    if (value == null) {
      throw new MalformedInputException("setting " + key + " is missing");
    }
    return value;
  }

  /** Returns the finite number that a required setting holds. */
  private double number(String key) {
    try {
      double value = Double.parseDouble(requiredText(key));
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, as is a value that is not finite.
    }
    throw invalid(key, "a finite number");
  }

  private double number(String key, double fallback) {
    return values.containsKey(key) ? number(key) : fallback;
  }

  private int integer(String key) {
    try {
      return Integer.parseInt(requiredText(key));
    } catch (NumberFormatException e) {
      throw invalid(key, "a 32-bit integer");
    }
  }

  private boolean bool(String key) {
    return choice(key, Map.of("true", true, "false", false));
  }

  private boolean bool(String key, boolean fallback) {
    return values.containsKey(key) ? bool(key) : fallback;
  }

  private <T> T choice(String key, Map<String, T> choices) {
    T value = choices.get(requiredText(key));
    if (value == null) {
      throw invalid(key, "one of " + new TreeSet<>(choices.keySet()));
    }
    return value;
  }

  private List<String> commaSeparated(String key) {
    String value = requiredText(key);
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }

  /**
   * Returns the comma-separated indices that a setting holds, or null if it is absent. For a
   * placement, null allows every zone or machine type and an empty list allows none.
   */
  private List<Integer> indices(String key) {
    if (!values.containsKey(key)) {
      return null;
    }
    List<Integer> indices = new ArrayList<>();
    for (String index : commaSeparated(key)) {
      try {
        indices.add(Integer.parseUnsignedInt(index));
      } catch (NumberFormatException e) {
        throw invalid(key, "non-negative integers separated by commas");
      }
    }
    return List.copyOf(indices);
  }

  /** Parses the items of a list; the parser receives the prefix of an item's keys. */
  private <T> List<T> parseItems(String listKey, Function<String, T> itemParser) {
    // A configuration without tenants has no tenants.count either.
    int count = values.containsKey(listKey + ".count") ? integer(listKey + ".count") : 0;
    if (count < 0 || count > MAX_LIST_ITEMS) {
      throw invalid(listKey + ".count", "an integer from 0 to " + MAX_LIST_ITEMS);
    }
    List<T> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      items.add(itemParser.apply(listKey + "." + i + "."));
    }
    return List.copyOf(items);
  }

  private MalformedInputException invalid(String key, String expected) {
    return new MalformedInputException(
        "setting "
            + key
            + " has the invalid value '"
            + requiredText(key)
            + "', expected "
            + expected);
  }
}
