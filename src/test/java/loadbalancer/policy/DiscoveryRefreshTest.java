package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When the endpoint watch is started anew. */
class DiscoveryRefreshTest {

  @Test
  void aWatchIsStartedAtFirstAndAgainAfterAFailedCall() {
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
    double[][] waits = new double[20][];
    for (int seed = 0; seed < waits.length; seed++) {
      PolicyHarness harness =
          new PolicyHarness(
              TestSettings.settings()
                  .explicitWatch(true)
                  .instanceCount(20)
                  .instanceIndex(seed)
                  .build(),
              seed);
      harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
      waits[seed] = new double[7];
      for (int i = 0; i < 6; i++) {
        waits[seed][i] = backoffAfterFailedCall(harness);
      }
      harness.updateEndpoints(EndpointUpdateType.DELTA, TestSettings.endpoint(2));
      waits[seed][6] = backoffAfterFailedCall(harness);
      // A silent watch of 2 s and two failures must be made good within 6 s.
      assertTrue(waits[seed][0] + waits[seed][1] < 1_000, Arrays.toString(waits[seed]));
      assertTrue(waits[seed][5] >= 1_000 && waits[seed][5] < 2_001, Arrays.toString(waits[seed]));
      assertTrue(waits[seed][6] < 500, Arrays.toString(waits[seed]));
    }
    for (int i = 0; i < 6; i++) {
      int failure = i;
      long instants =
          Arrays.stream(waits).mapToLong(wait -> (long) wait[failure] / 25).distinct().count();
      assertTrue(instants > 3, "instances retry at " + instants + " times after failure " + i);
    }
  }

  @Test
  void whereUpdatesArePushedTheBackoffStaysWithinTheDrainGrace() {
    double[] last = new double[20];
    for (int seed = 0; seed < last.length; seed++) {
      PolicySettings settings =
          TestSettings.settings().instanceCount(20).instanceIndex(seed).build();
      PolicyHarness harness = new PolicyHarness(settings, seed);
      harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
      for (int i = 0; i < 8; i++) {
        // Half of the grace is left for the call and its response.
        last[seed] = backoffAfterFailedCall(harness);
        assertTrue(
            last[seed] <= settings.rules().drainGraceMillis() / 2 + 1,
            "retried after " + last[seed]);
      }
    }
    long instants = Arrays.stream(last).mapToLong(wait -> (long) wait / 25).distinct().count();
    assertTrue(instants > 3, "instances retry at " + instants + " times");
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void theBackoffIsBoundedWhateverTheSettings(boolean subscribe) {
    for (int seed = 0; seed < 20; seed++) {
      PolicyHarness harness =
          new PolicyHarness(
              TestSettings.settings()
                  .explicitWatch(subscribe)
                  .pollIntervalMillis(600_000)
                  .drainGraceMillis(600_000)
                  .build(),
              seed);
      harness.updateEndpoints(EndpointUpdateType.CACHED, TestSettings.endpoint(1));
      for (int i = 0; i < 30; i++) {
        double wait = backoffAfterFailedCall(harness);
        assertTrue(wait <= 2_001, "retried after " + wait + " ms, failure " + i);
      }
    }
  }

  /** Fails a call to discovery; returns the milliseconds until the next one. */
  private static double backoffAfterFailedCall(PolicyHarness harness) {
    int watches = harness.watchesStarted;
    double failedAt = harness.now;
    harness.updateEndpoints(EndpointUpdateType.FAILED);
    for (int i = 0; i < 20_000 && harness.watchesStarted == watches; i++) {
      harness.advance(1);
    }
    assertEquals(watches + 1, harness.watchesStarted);
    return harness.now - failedAt;
  }
}
