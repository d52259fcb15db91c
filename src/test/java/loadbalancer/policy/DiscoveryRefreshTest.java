package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When the watch of the endpoint list is restarted, and the backoff after failed calls. */
class DiscoveryRefreshTest {

  @Test
  void theWatchIsStartedAtStartupAndRestartedAfterAFailedCall() {
    PolicyHarness harness =
        new PolicyHarness(TestSettings.settings().explicitWatch(true).build(), 1);
    assertEquals(1, harness.watchesStarted);
    harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
    harness.updateEndpoints(EndpointUpdateType.FAILED);
    assertEquals(1, harness.watchesStarted);
    harness.advance(10_000);
    assertEquals(2, harness.watchesStarted);
  }

  @Test
  void failedCallsAreRetriedWithBackoffAndJitter() {
    double[][] backoffsMillis = new double[20][];
    for (int seed = 0; seed < backoffsMillis.length; seed++) {
      PolicyHarness harness =
          new PolicyHarness(
              TestSettings.settings()
                  .explicitWatch(true)
                  .instanceCount(20)
                  .instanceIndex(seed)
                  .build(),
              seed);
      harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
      backoffsMillis[seed] = new double[7];
      for (int i = 0; i < 6; i++) {
        backoffsMillis[seed][i] = backoffAfterFailedCallMillis(harness);
      }
      harness.updateEndpoints(EndpointUpdateType.DELTA, TestSettings.endpoint(2));
      backoffsMillis[seed][6] = backoffAfterFailedCallMillis(harness);
      // The platform counts an update as notified at the latest 6 s after discovery had it and
      // could be reached, or after a watch fell silent. These backoffs leave time for a silent
      // watch of 2 s and two failed calls.
      assertTrue(
          backoffsMillis[seed][0] + backoffsMillis[seed][1] < 1_000,
          Arrays.toString(backoffsMillis[seed]));
      assertTrue(
          backoffsMillis[seed][5] >= 1_000 && backoffsMillis[seed][5] < 2_001,
          Arrays.toString(backoffsMillis[seed]));
      assertTrue(backoffsMillis[seed][6] < 500, Arrays.toString(backoffsMillis[seed]));
    }
    for (int i = 0; i < 6; i++) {
      int failureIndex = i;
      long distinctBackoffs =
          Arrays.stream(backoffsMillis)
              .mapToLong(backoffs -> (long) backoffs[failureIndex] / 25)
              .distinct()
              .count();
      assertTrue(
          distinctBackoffs > 3,
          "20 instances use only " + distinctBackoffs + " different backoffs after failure " + i);
    }
  }

  @Test
  void withoutExplicitWatchTheBackoffIsAtMostHalfTheDrainGrace() {
    double[] lastBackoffsMillis = new double[20];
    for (int seed = 0; seed < lastBackoffsMillis.length; seed++) {
      PolicySettings settings =
          TestSettings.settings().instanceCount(20).instanceIndex(seed).build();
      PolicyHarness harness = new PolicyHarness(settings, seed);
      harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
      for (int i = 0; i < 8; i++) {
        // The other half of the drain grace is left for the call and its response.
        lastBackoffsMillis[seed] = backoffAfterFailedCallMillis(harness);
        assertTrue(
            lastBackoffsMillis[seed] <= settings.rules().drainGraceMillis() / 2 + 1,
            "backoff of " + lastBackoffsMillis[seed] + " ms");
      }
    }
    long distinctBackoffs =
        Arrays.stream(lastBackoffsMillis)
            .mapToLong(backoffMillis -> (long) backoffMillis / 25)
            .distinct()
            .count();
    assertTrue(
        distinctBackoffs > 3, "20 instances use only " + distinctBackoffs + " different backoffs");
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void theBackoffIsAtMostTwoSecondsWithLongIntervals(boolean explicitWatch) {
    for (int seed = 0; seed < 20; seed++) {
      PolicyHarness harness =
          new PolicyHarness(
              TestSettings.settings()
                  .explicitWatch(explicitWatch)
                  .pollIntervalMillis(600_000)
                  .drainGraceMillis(600_000)
                  .build(),
              seed);
      harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
      for (int i = 0; i < 30; i++) {
        double backoffMillis = backoffAfterFailedCallMillis(harness);
        assertTrue(
            backoffMillis <= 2_001, "backoff of " + backoffMillis + " ms after failure " + i);
      }
    }
  }

  /** Reports a failed call to discovery; returns the time until the watch is restarted. */
  private static double backoffAfterFailedCallMillis(PolicyHarness harness) {
    int watchesBefore = harness.watchesStarted;
    double failedAtMillis = harness.now;
    harness.updateEndpoints(EndpointUpdateType.FAILED);
    for (int i = 0; i < 20_000 && harness.watchesStarted == watchesBefore; i++) {
      harness.advance(1);
    }
    assertEquals(watchesBefore + 1, harness.watchesStarted);
    return harness.now - failedAtMillis;
  }
}
