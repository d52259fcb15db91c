package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import org.junit.jupiter.api.Test;

/** Tests that instances prefer balanced subsets, and when they use endpoints outside. */
class EndpointSubsetTest {

  /** With 48 endpoints and a target size of 8, each subset has 8 endpoints. */
  @Test
  void withFewRecordedAttemptsMostAttemptsGoToABalancedSubset() {
    int instances = 40;
    int[] attemptsByEndpoint = new int[49];
    int toEightMostUsed = 0;
    for (int instance = 0; instance < instances; instance++) {
      PolicyHarness harness =
          new PolicyHarness(
              TestSettings.settings()
                  .tier(1)
                  .instanceCount(instances)
                  .instanceIndex(instance)
                  .build(),
              1);
      TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[48];
      for (int i = 0; i < list.length; i++) {
        list[i] = TestSettings.endpoint(i + 1).machineType(i % 2);
      }
      harness.updateEndpoints(EndpointUpdateType.CACHED, list);
      int[] attemptsOfInstance = new int[49];
      for (int i = 0; i < 100; i++) {
        harness.request(i, 0);
        attemptsOfInstance[(int) harness.lastAttempt().endpointId()]++;
        attemptsByEndpoint[(int) harness.lastAttempt().endpointId()]++;
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 200);
        harness.advance(1_000);
      }
      toEightMostUsed += Arrays.stream(attemptsOfInstance).sorted().skip(41).sum();
    }
    assertTrue(
        toEightMostUsed > 0.8 * 4_000,
        toEightMostUsed + " of 4000 attempts went to the 8 most used endpoints of each instance");
    // The average is 83 attempts per endpoint.
    int mostUsed = Arrays.stream(attemptsByEndpoint).max().orElseThrow();
    int leastUsed = Arrays.stream(attemptsByEndpoint).skip(1).min().orElseThrow();
    assertTrue(
        mostUsed < 150 && leastUsed > 40,
        "attempts per endpoint: from " + leastUsed + " to " + mostUsed);
  }

  @Test
  void withManyRecordedAttemptsTheSubsetIsHardlyPreferred() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 1);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[48];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.endpoint(i + 1);
    }
    harness.updateEndpoints(EndpointUpdateType.CACHED, list);
    int[] attemptsByEndpoint = new int[49];
    for (int i = 0; i < 8_000; i++) {
      harness.request(i, 0);
      // The first half only fills the statistics.
      attemptsByEndpoint[(int) harness.lastAttempt().endpointId()] += i < 4_000 ? 0 : 1;
      harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 200);
    }
    int toEightMostUsed = Arrays.stream(attemptsByEndpoint).sorted().skip(41).sum();
    assertTrue(
        toEightMostUsed < 1_200,
        toEightMostUsed + " of 4000 attempts went to the 8 most used endpoints");
  }

  @Test
  void requestsLeaveASubsetWhoseEndpointsFail() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 1);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[48];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.endpoint(i + 1);
    }
    harness.updateEndpoints(EndpointUpdateType.CACHED, list);
    Set<Long> failing = new HashSet<>();
    int servedInSecondHalf = 0;
    for (int i = 0; i < 400; i++) {
      harness.request(i, 0);
      // The first eight endpoints that are used, most of them in the subset, fail from then on.
      if (failing.size() < 8) {
        failing.add(harness.lastAttempt().endpointId());
      }
      while (harness.isOpen(i)) {
        boolean fails = failing.contains(harness.lastAttempt().endpointId());
        servedInSecondHalf += fails || i < 200 ? 0 : 1;
        harness.finishAfter(
            harness.lastAttempt(), fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 200);
      }
      harness.advance(100);
    }
    assertTrue(
        servedInSecondHalf > 150, servedInSecondHalf + " of the last 200 requests were served");
  }
}
