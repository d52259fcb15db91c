package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointUpdateType;
import org.junit.jupiter.api.Test;

/** Deterministic subsetting, and when the subset is left. */
class EndpointSubsetTest {

  @Test
  void withLittleEvidenceMostAttemptsGoToABalancedSubset() {
    int instances = 40;
    int[] drawn = new int[49];
    int inEight = 0;
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
      int[] own = new int[49];
      for (int i = 0; i < 100; i++) {
        harness.request(i, 0);
        own[(int) harness.lastAttempt().endpointId()]++;
        drawn[(int) harness.lastAttempt().endpointId()]++;
        harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 200);
        harness.advance(1_000);
      }
      inEight += Arrays.stream(own).sorted().skip(41).sum();
    }
    assertTrue(inEight > 0.8 * 4_000, inEight + " of 4000 in the eight most used of each");
    // 83 each on average.
    int most = Arrays.stream(drawn).max().orElseThrow();
    int least = Arrays.stream(drawn).skip(1).min().orElseThrow();
    assertTrue(most < 150 && least > 40, "from " + least + " to " + most);
  }

  @Test
  void withMuchEvidenceTheSubsetHardlyMatters() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 1);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[48];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.endpoint(i + 1);
    }
    harness.updateEndpoints(EndpointUpdateType.CACHED, list);
    int[] drawn = new int[49];
    for (int i = 0; i < 8_000; i++) {
      harness.request(i, 0);
      drawn[(int) harness.lastAttempt().endpointId()] += i < 4_000 ? 0 : 1;
      harness.finishAfter(harness.lastAttempt(), AttemptOutcome.OK, 200);
    }
    int inEight = Arrays.stream(drawn).sorted().skip(41).sum();
    assertTrue(inEight < 1_200, inEight + " of 4000 in the eight most used");
  }

  @Test
  void aSubsetOfFailingEndpointsIsLeft() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().tier(1).build(), 1);
    TestSettings.EndpointBuilder[] list = new TestSettings.EndpointBuilder[48];
    for (int i = 0; i < list.length; i++) {
      list[i] = TestSettings.endpoint(i + 1);
    }
    harness.updateEndpoints(EndpointUpdateType.CACHED, list);
    Set<Long> failing = new HashSet<>();
    int served = 0;
    for (int i = 0; i < 400; i++) {
      harness.request(i, 0);
      if (failing.size() < 8) {
        failing.add(harness.lastAttempt().endpointId());
      }
      while (harness.isOpen(i)) {
        boolean fails = failing.contains(harness.lastAttempt().endpointId());
        served += fails || i < 200 ? 0 : 1;
        harness.finishAfter(
            harness.lastAttempt(), fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 200);
      }
      harness.advance(100);
    }
    assertTrue(served > 150, served + " of 200 served");
  }
}
