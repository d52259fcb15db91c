package loadbalancer.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import loadbalancer.model.DeduplicationScope;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;
import loadbalancer.model.Idempotency;
import loadbalancer.model.PolicySettings;
import loadbalancer.model.Tenant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

public class SettingsParserTest {

  /** Settings with two request classes that contain only the settings without a default. */
  public static final String REQUIRED_SETTINGS =
      String.join(
          "\n",
          "position=4",
          "siblings=9",
          "tier=1",
          "stages=edge,core",
          "zone=0",
          "zones=north,south",
          "machineTypes=big,small",
          "registryMode=automatic",
          "worthBy=work",
          "weightKind=rough",
          "stats.how=silent",
          "stats.fields=",
          "services.count=2",
          "services.0.name=read",
          "services.0.aim=500.0",
          "services.0.deadline=2000.0",
          "services.0.worth=2.0",
          "services.0.lateValue=0.25",
          "services.0.idempotency=idempotent",
          "services.0.streamed=false",
          "services.1.name=order",
          "services.1.aim=900.0",
          "services.1.deadline=4000.0",
          "services.1.worth=7.0",
          "services.1.lateValue=0.0",
          "services.1.idempotency=deduplicated",
          "services.1.group=cell",
          "services.1.memorySpan=3000.0",
          "services.1.streamed=true",
          "limits.attemptsCap=4",
          "limits.maxOpen=1000",
          "limits.cancel=true",
          "limits.parallelTries=false",
          "limits.probes=false",
          "limits.peers=false",
          "limits.retryAfter=false",
          "limits.maxRetryAfter=2000.0",
          "limits.connectTimeout=100.0",
          "limits.connIdle=5000.0",
          "limits.streamsPerConn=1",
          "rules.graceToAnswer=20.0",
          "rules.drainGrace=500.0",
          "rules.askEvery=10000.0",
          "rules.startCapacity=0.2",
          "rules.warmUp=9000.0",
          "rules.fallMultiple=3.0",
          "rules.tipAfter=1500.0",
          "goal.whole=0.6",
          "goal.worstWindow=0.2",
          "goal.worstClass=0.2",
          "goal.worstTenant=0.0",
          "prices.crossZone=0.01",
          "prices.probe=0.0",
          "prices.waste=0.02",
          "prices.lateFail=0.03",
          "prices.connection=0.0",
          "prices.handshake=0.0",
          "prices.peer=0.0",
          "prices.registryMode=0.0",
          "");

  private static PolicySettings parse(String text) {
    return SettingsParser.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  private static void assertRejected(String message, String text) {
    MalformedInputException e = assertThrows(MalformedInputException.class, () -> parse(text));
    assertTrue(e.getMessage().contains(message), e.getMessage());
  }

  @Test
  void requiredSettingsAreParsed() {
    PolicySettings settings = parse(REQUIRED_SETTINGS);
    assertEquals(4, settings.instanceIndex());
    assertEquals(9, settings.instanceCount());
    assertEquals(1, settings.tier());
    assertEquals(2, settings.machineTypeCount());
    assertEquals(Idempotency.IDEMPOTENT, settings.requestClasses().get(0).idempotency());
    assertEquals(DeduplicationScope.GROUP, settings.requestClasses().get(1).deduplicationScope());
    assertEquals(3_000, settings.requestClasses().get(1).deduplicationWindowMillis());
    assertEquals(0, settings.tenants().size());
    assertEquals(500, settings.rules().drainGraceMillis());
    assertEquals(0.2, settings.worstClassWeight());
    assertEquals(0.01, settings.costs().crossZoneCost());
  }

  @Test
  void unknownSettingsAreIgnoredAndOptionalOnesHaveDefaults() {
    PolicySettings settings = parse(REQUIRED_SETTINGS + "rules.brandNew=x\nprices.fleet=0.5\n");
    assertEquals(0, settings.requestClasses().get(0).objectivePerCost());
    assertFalse(settings.requestClasses().get(0).orderedByKey());
    assertEquals(0, settings.rules().keySettleMillis());
  }

  @Test
  void optionalSettingsAreParsed() {
    PolicySettings settings =
        parse(
            REQUIRED_SETTINGS
                + String.join(
                    "\n",
                    "services.0.byArrival=true",
                    "services.0.runsIn=1",
                    "services.1.boundTo=0,1",
                    "services.1.runsIn=",
                    "rules.orderSettle=50.0",
                    "goal.tail=0.2",
                    "goal.tailMiss=0.03",
                    "goal.logLossPart=0.3",
                    "goal.topNines=2.0",
                    "limits.cpuUsPerRequest=40.0",
                    "limits.cpuUsPerS=800000"));
    assertTrue(settings.requestClasses().get(0).orderedByKey());
    assertEquals(List.of(1), settings.requestClasses().get(0).allowedZones());
    assertNull(settings.requestClasses().get(0).allowedMachineTypes());
    assertEquals(List.of(0, 1), settings.requestClasses().get(1).allowedMachineTypes());
    assertEquals(List.of(), settings.requestClasses().get(1).allowedZones());
    assertEquals(50, settings.rules().keySettleMillis());
    assertEquals(0.2, settings.worstClassWeight());
  }

  @Test
  void requestClassIsUnrestrictedByDefault() {
    PolicySettings settings = parse(REQUIRED_SETTINGS);
    assertFalse(settings.requestClasses().get(0).orderedByKey());
    assertTrue(
        settings
            .requestClasses()
            .get(0)
            .allows(new Endpoint(1, 7, 9, 0, EndpointState.READY, 1, 0)));
    assertEquals(0, settings.rules().keySettleMillis());
    assertEquals(0.2, settings.worstClassWeight());
  }

  /** Settings that the policy does not use are validated as well. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "limits.maxOpen",
        "limits.probes",
        "limits.peers",
        "limits.streamsPerConn",
        "rules.tipAfter",
        "goal.whole",
        "goal.worstWindow",
        "goal.worstTenant",
        "prices.probe",
        "prices.waste",
        "prices.lateFail",
        "prices.peer",
        "prices.registryMode",
        "weightKind"
      })
  void unusedRequiredSettingIsValidated(String key) {
    String without = REQUIRED_SETTINGS.replaceAll("(?m)^" + Pattern.quote(key) + "=.*\n", "");
    assertRejected("setting " + key + " is missing", without);
    assertRejected("setting " + key + " has the invalid value 'x'", without + key + "=x\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {"stages", "zones"})
  void unusedListOfNamesIsRequired(String key) {
    String without = REQUIRED_SETTINGS.replaceAll("(?m)^" + Pattern.quote(key) + "=.*\n", "");
    assertRejected("setting " + key + " is missing", without);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "familyInfo.passesDeadline",
        "familyInfo.warmKeys",
        "callers.marksRetry",
        "overShareWorth",
        "goal.tail",
        "goal.tailMiss",
        "goal.logLossPart",
        "goal.topNines",
        "limits.cpuUsPerRequest",
        "limits.cpuUsPerS"
      })
  void unusedOptionalSettingIsValidatedIfPresent(String key) {
    assertRejected(
        "setting " + key + " has the invalid value 'x'", REQUIRED_SETTINGS + key + "=x\n");
  }

  @Test
  void tenantIsParsedAndItsNumbersAreValidated() {
    String tenants = "tenants.count=1\ntenants.0.name=acme\ntenants.0.fraction=0.5\n";
    assertEquals(
        List.of(new Tenant("acme")),
        parse(REQUIRED_SETTINGS + tenants + "tenants.0.quotaPerS=9\n").tenants());
    assertRejected("setting tenants.0.quotaPerS is missing", REQUIRED_SETTINGS + tenants);
    assertRejected(
        "setting tenants.0.quotaPerS has the invalid value",
        REQUIRED_SETTINGS + tenants + "tenants.0.quotaPerS=x\n");
  }

  @Test
  void invalidPlacementIsReportedWithItsKey() {
    assertRejected(
        "services.0.runsIn has the invalid value",
        REQUIRED_SETTINGS + "services.0.runsIn=0,north\n");
    assertRejected(
        "services.1.boundTo has the invalid value", REQUIRED_SETTINGS + "services.1.boundTo=-1\n");
    assertRejected(
        "services.0.byArrival has the invalid value",
        REQUIRED_SETTINGS + "services.0.byArrival=1\n");
    assertRejected(
        "rules.orderSettle has the invalid value", REQUIRED_SETTINGS + "rules.orderSettle=\n");
  }

  @Test
  void missingSettingIsReportedWithItsKey() {
    assertRejected(
        "rules.drainGrace is missing", REQUIRED_SETTINGS.replace("rules.drainGrace=500.0\n", ""));
    assertRejected(
        "services.count is missing", REQUIRED_SETTINGS.replace("services.count=2\n", ""));
    assertRejected(
        "services.1.memorySpan is missing",
        REQUIRED_SETTINGS.replace("services.1.memorySpan=3000.0\n", ""));
  }

  @Test
  void invalidValueIsReportedWithItsKey() {
    assertRejected(
        "rules.warmUp has the invalid value",
        REQUIRED_SETTINGS.replace("warmUp=9000.0", "warmUp=soon"));
    assertRejected(
        "rules.warmUp has the invalid value",
        REQUIRED_SETTINGS.replace("warmUp=9000.0", "warmUp=NaN"));
    assertRejected(
        "services.0.idempotency has the invalid value",
        REQUIRED_SETTINGS.replace(
            "services.0.idempotency=idempotent", "services.0.idempotency=maybe"));
    assertRejected(
        "services.count has the invalid value",
        REQUIRED_SETTINGS.replace("services.count=2", "services.count=-1"));
    assertRejected(
        "settings line 1 is not of the form key=value", "nonsense\n" + REQUIRED_SETTINGS);
  }

  @Test
  void settingsThatAreNotUtf8AreRejected() {
    assertThrows(
        MalformedInputException.class,
        () -> SettingsParser.parse(new byte[] {(byte) 0xc3, (byte) 0x28}));
  }
}
