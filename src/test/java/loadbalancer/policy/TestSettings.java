package loadbalancer.policy;

import java.util.List;
import loadbalancer.model.CostSettings;
import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;
import loadbalancer.model.Idempotency;
import loadbalancer.model.LimitSettings;
import loadbalancer.model.LoadReportMode;
import loadbalancer.model.PolicySettings;
import loadbalancer.model.RequestClass;
import loadbalancer.model.RuleSettings;

/** Builders of settings and endpoints for tests. */
final class TestSettings {

  /** Latency objective of both request classes. */
  static final double OBJECTIVE_MILLIS = 1_000;

  /** Time from the arrival of a request to its deadline, for both classes. */
  static final double DEADLINE_MILLIS = 2_000;

  private TestSettings() {}

  /** Settings with two request classes; only the first class can have a restricted placement. */
  static Builder settings() {
    return new Builder();
  }

  /** An endpoint that is ready and not warming up. */
  static EndpointBuilder endpoint(long id) {
    return new EndpointBuilder(id);
  }

  static final class EndpointBuilder {
    private final long id;
    private int zone;
    private int deduplicationGroup;
    private int machineType;
    private EndpointState state = EndpointState.READY;
    private double startedAtMillis;

    private EndpointBuilder(long id) {
      this.id = id;
    }

    EndpointBuilder zone(int value) {
      zone = value;
      return this;
    }

    EndpointBuilder deduplicationGroup(int value) {
      deduplicationGroup = value;
      return this;
    }

    EndpointBuilder machineType(int value) {
      machineType = value;
      return this;
    }

    EndpointBuilder state(EndpointState value) {
      state = value;
      return this;
    }

    EndpointBuilder startedAt(double value) {
      startedAtMillis = value;
      return this;
    }

    Endpoint build() {
      return new Endpoint(id, zone, machineType, deduplicationGroup, state, 1, startedAtMillis);
    }
  }

  static final class Builder {
    private Idempotency idempotency = Idempotency.IDEMPOTENT;
    private DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    private double deduplicationWindowMillis = 5_000;
    private double lateResponseValue = 0.5;
    private boolean parallelAttempts;
    private boolean explicitWatch;
    private boolean streamed;
    private int instanceCount = 1;
    private int instanceIndex;
    private int tier;
    private double crossZoneCost;
    private double connectionCost;
    private double pollIntervalMillis = 10_000;
    private double drainGraceMillis = 500;
    private boolean orderedByKey;
    private List<Integer> allowedZones;
    private List<Integer> allowedMachineTypes;

    /**
     * Whether both classes are ordered by key. A key stays reserved for 100 ms after an abandoned
     * attempt.
     */
    Builder orderedByKey(boolean value) {
      orderedByKey = value;
      return this;
    }

    /** Restricts the first class to these zones. */
    Builder allowedZones(Integer... values) {
      allowedZones = List.of(values);
      return this;
    }

    /** Restricts the first class to these machine types. */
    Builder allowedMachineTypes(Integer... values) {
      allowedMachineTypes = List.of(values);
      return this;
    }

    Builder idempotency(Idempotency value) {
      idempotency = value;
      return this;
    }

    Builder deduplicationScope(DeduplicationScope value) {
      deduplicationScope = value;
      return this;
    }

    Builder deduplicationWindowMillis(double value) {
      deduplicationWindowMillis = value;
      return this;
    }

    Builder lateResponseValue(double value) {
      lateResponseValue = value;
      return this;
    }

    Builder parallelAttempts(boolean value) {
      parallelAttempts = value;
      return this;
    }

    Builder explicitWatch(boolean value) {
      explicitWatch = value;
      return this;
    }

    Builder streamed(boolean value) {
      streamed = value;
      return this;
    }

    Builder instanceCount(int value) {
      instanceCount = value;
      return this;
    }

    Builder instanceIndex(int value) {
      instanceIndex = value;
      return this;
    }

    Builder tier(int value) {
      tier = value;
      return this;
    }

    Builder crossZoneCost(double value) {
      crossZoneCost = value;
      return this;
    }

    Builder connectionCost(double value) {
      connectionCost = value;
      return this;
    }

    Builder pollIntervalMillis(double value) {
      pollIntervalMillis = value;
      return this;
    }

    Builder drainGraceMillis(double value) {
      drainGraceMillis = value;
      return this;
    }

    PolicySettings build() {
      List<RequestClass> classes =
          List.of(
              new RequestClass(
                  "first",
                  OBJECTIVE_MILLIS,
                  /* objectivePerCost= */ 0,
                  DEADLINE_MILLIS,
                  /* priorityWeight= */ 5,
                  lateResponseValue,
                  idempotency,
                  deduplicationScope,
                  deduplicationWindowMillis,
                  streamed,
                  orderedByKey,
                  allowedZones,
                  allowedMachineTypes),
              new RequestClass(
                  "second",
                  OBJECTIVE_MILLIS,
                  /* objectivePerCost= */ 0,
                  DEADLINE_MILLIS,
                  /* priorityWeight= */ 1,
                  lateResponseValue,
                  idempotency,
                  deduplicationScope,
                  deduplicationWindowMillis,
                  streamed,
                  orderedByKey,
                  /* allowedZones= */ null,
                  /* allowedMachineTypes= */ null));
      return new PolicySettings(
          instanceIndex,
          instanceCount,
          tier,
          /* zone= */ 0,
          /* machineTypeCount= */ 2,
          explicitWatch,
          /* priorityByWork= */ false,
          /* worstClassWeight= */ 0.2,
          LoadReportMode.NONE,
          /* loadReportFields= */ List.of(),
          classes,
          /* tenants= */ List.of(),
          new LimitSettings(
              /* maxAttempts= */ 4,
              /* cancellation= */ true,
              parallelAttempts,
              /* retryAfterAdvice= */ true,
              /* maxRetryAfterMillis= */ 2_000,
              /* connectTimeoutMillis= */ 100,
              /* idleTimeoutMillis= */ 30_000),
          new RuleSettings(
              /* responseGraceMillis= */ 20,
              drainGraceMillis,
              pollIntervalMillis,
              /* initialCapacity= */ 0.2,
              /* warmUpMillis= */ 10_000,
              /* collapseMultiple= */ 3,
              /* keySettleMillis= */ 100),
          new CostSettings(crossZoneCost, connectionCost, /* handshakeCost= */ 0));
    }
  }
}
