package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;
import org.junit.jupiter.api.Test;

/** Compiles and runs the embedding example in README.md, which must have the same text. */
class EmbeddingExampleTest {

  // example begins
  static LoadBalancingPolicy host(PolicyActions actions, PolicySettings settings, double now) {
    LoadBalancingPolicy policy = new LatencyWeightedPolicy(actions);
    policy.start(now, settings, 42);
    policy.endpointsChanged(
        now,
        EndpointUpdateType.CACHED,
        List.of(new Endpoint(1, 0, 0, 0, EndpointState.READY, 1, 0)));
    // A client's request: the policy calls actions.sendAttempt(7, 1, timeout) before it returns.
    policy.requestArrived(now, new ClientRequest(7, 0, 0, 0, now + 2_000, 0, false, false));
    // The attempt was served after 12 ms; 'true': the client has its response.
    policy.attemptFinished(now + 12, new AttemptResult(7, 0, 1, AttemptOutcome.OK, true, 12, null));
    return policy;
  }

  // example ends

  @Test
  void theExampleSendsAnAttempt() {
    PolicyHarness harness = new PolicyHarness(TestSettings.settings().build(), 1);
    host(harness, TestSettings.settings().build(), 100_000);
    assertEquals(7, harness.lastAttempt().requestId());
    assertEquals(1, harness.lastAttempt().endpointId());
  }

  @Test
  void theReadmeShowsThisExample() throws IOException {
    String source =
        Files.readString(Path.of("src/test/java/loadbalancer/policy/EmbeddingExampleTest.java"));
    String beginMarker = "// example begins\n";
    String exampleCode =
        source.substring(
            source.indexOf(beginMarker) + beginMarker.length(),
            source.indexOf("  // example ends"));
    assertTrue(
        Files.readString(Path.of("README.md"))
            .contains("```java\n" + exampleCode.indent(-2) + "```"),
        "README.md does not contain the example of EmbeddingExampleTest.java");
  }
}
