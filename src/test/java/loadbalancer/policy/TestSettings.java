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

/** Settings and server entries for tests. */
final class TestSettings {

  static final double AIM = 1_000;
  static final double DEADLINE = 2_000;

  private TestSettings() {}

  static Builder plain() {
    return new Builder();
  }

  static EndpointBuilder server(long id) {
    return new EndpointBuilder(id);
  }

  static final class EndpointBuilder {
    private final long id;
    private int zone;
    private int cell;
    private int kind;
    private EndpointState state = EndpointState.READY;
    private double startedAt;

    private EndpointBuilder(long id) {
      this.id = id;
    }

    EndpointBuilder zone(int value) {
      zone = value;
      return this;
    }

    EndpointBuilder cell(int value) {
      cell = value;
      return this;
    }

    EndpointBuilder kind(int value) {
      kind = value;
      return this;
    }

    EndpointBuilder state(EndpointState value) {
      state = value;
      return this;
    }

    EndpointBuilder startedAt(double value) {
      startedAt = value;
      return this;
    }

    Endpoint listed() {
      return new Endpoint(id, zone, kind, cell, state, 1, startedAt);
    }
  }

  static final class Builder {
    private Idempotency repeat = Idempotency.IDEMPOTENT;
    private DeduplicationScope group = DeduplicationScope.ALL;
    private double memory = 5_000;
    private double lateWorth = 0.5;
    private boolean parallel;
    private boolean subscribe;
    private boolean streamed;
    private int siblings = 1;
    private int position;
    private int tier;
    private double crossZone;
    private double connection;
    private double askEvery = 10_000;
    private double drainGrace = 500;
    private boolean inOrder;
    private List<Integer> onlyZones;
    private List<Integer> onlyKinds;

    /** Both classes take turns per key; keys rest for 100 ms. */
    Builder inOrder(boolean value) {
      inOrder = value;
      return this;
    }

    /** The first class may only go to these zones. */
    Builder onlyZones(Integer... values) {
      onlyZones = List.of(values);
      return this;
    }

    /** The first class may only go to these machine types. */
    Builder onlyKinds(Integer... values) {
      onlyKinds = List.of(values);
      return this;
    }

    Builder repeat(Idempotency value) {
      repeat = value;
      return this;
    }

    Builder group(DeduplicationScope value) {
      group = value;
      return this;
    }

    Builder memory(double value) {
      memory = value;
      return this;
    }

    Builder lateWorth(double value) {
      lateWorth = value;
      return this;
    }

    Builder parallel(boolean value) {
      parallel = value;
      return this;
    }

    Builder subscribe(boolean value) {
      subscribe = value;
      return this;
    }

    Builder streamed(boolean value) {
      streamed = value;
      return this;
    }

    Builder siblings(int value) {
      siblings = value;
      return this;
    }

    Builder position(int value) {
      position = value;
      return this;
    }

    Builder tier(int value) {
      tier = value;
      return this;
    }

    Builder crossZone(double value) {
      crossZone = value;
      return this;
    }

    Builder connection(double value) {
      connection = value;
      return this;
    }

    Builder askEvery(double value) {
      askEvery = value;
      return this;
    }

    Builder drainGrace(double value) {
      drainGrace = value;
      return this;
    }

    PolicySettings build() {
      List<RequestClass> classes =
          List.of(
              new RequestClass(
                  "first", AIM, 0, DEADLINE, 5, lateWorth, repeat, group, memory, streamed, inOrder,
                  onlyZones, onlyKinds),
              new RequestClass(
                  "second", AIM, 0, DEADLINE, 1, lateWorth, repeat, group, memory, streamed,
                  inOrder, null, null));
      return new PolicySettings(
          position,
          siblings,
          tier,
          0,
          2,
          subscribe,
          false,
          0.2,
          LoadReportMode.NONE,
          List.of(),
          classes,
          List.of(),
          new LimitSettings(4, true, parallel, true, 2_000, 100, 30_000),
          new RuleSettings(20, drainGrace, askEvery, 0.2, 10_000, 3, 100),
          new CostSettings(crossZone, connection, 0));
    }
  }
}
