package loadbalancer.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import loadbalancer.benchmark.SyntheticDeployment.EndpointEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The responses of the fake discovery service. */
class FakeDiscoveryServiceTest {

  private static final long TIMEOUT_SECONDS = 30;

  private final List<EndpointEntry> entries = SyntheticDeployment.entries(6, 2);
  private final FakeDiscoveryService discovery =
      new FakeDiscoveryService(entries, new NoOpListener());
  private final HttpClient client = HttpClient.newHttpClient();

  @AfterEach
  void close() {
    discovery.close();
  }

  private CompletableFuture<JsonNode> fetch(String query) {
    URI uri =
        URI.create(
            "http://127.0.0.1:%d/catalog/members%s"
                .formatted(
                    discovery.address(FakeDiscoveryService.SIMULATED_BALANCERS).getPort(), query));
    return client
        .sendAsync(
            HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(TIMEOUT_SECONDS)).build(),
            BodyHandlers.ofByteArray())
        .thenApply(
            response -> {
              try {
                return MeasuredPoint.JSON.readTree(response.body());
              } catch (IOException e) {
                throw new AssertionError(e);
              }
            });
  }

  private static void assertList(JsonNode response, long version, boolean full, int serverCount) {
    assertEquals(version, response.path("version").asLong(), response.toString());
    assertEquals(full, response.path("full").asBoolean(), response.toString());
    assertEquals(serverCount, response.path("servers").size(), response.toString());
  }

  @Test
  void watchReturnsChangesAndFullListOmitsRemovedEndpoints() throws Exception {
    assertList(fetch("").get(), 1, true, 6);
    CompletableFuture<JsonNode> watch = fetch("?index=1&wait=60000");
    discovery.change(List.of(entries.get(2).withState("removed", 0)));
    discovery.change(List.of(entries.get(3).withState("draining", 0)));
    JsonNode delta = watch.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    // The delta holds both changes if the request arrives only after the second one.
    assertFalse(delta.path("full").asBoolean());
    assertEquals("removed", delta.path("servers").get(0).path("state").asText());
    assertList(fetch("?index=1&wait=0").get(), 3, false, 2);
    assertList(fetch("?index=2&wait=0").get(), 3, false, 1);
    assertList(fetch("?index=3&wait=1").get(), 3, false, 0);
    assertList(fetch("").get(), 3, true, 5);
  }

  @Test
  void watchFromDroppedOrUnknownVersionReturnsFullList() throws Exception {
    discovery.change(List.of(entries.get(0).withState("draining", 0)));
    discovery.dropHistory();
    assertList(fetch("?index=1&wait=0").get(), 2, true, 6);
    assertList(fetch("?index=9&wait=60000").get(), 2, true, 6);
    assertList(fetch("?index=2&wait=0").get(), 2, false, 0);
    CompletableFuture<JsonNode> watch = fetch("?index=2&wait=60000");
    discovery.resync();
    assertList(watch.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), 3, true, 6);
  }

  @Test
  void resetsConnectionsWhileRefusingAndAnswersAfterwards() throws Exception {
    CompletableFuture<JsonNode> watch = fetch("?index=1&wait=60000");
    discovery.setMode(FakeDiscoveryService.Mode.REFUSING);
    assertThrows(ExecutionException.class, () -> watch.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertThrows(ExecutionException.class, () -> fetch("").get());
    discovery.setMode(FakeDiscoveryService.Mode.ANSWERING);
    assertList(fetch("").get(), 1, true, 6);
  }

  /** Ignores all events. */
  static final class NoOpListener implements FakeDiscoveryService.Listener {

    @Override
    public void versionCreated(long version) {
      // Ignored.
    }

    @Override
    public void versionAcknowledged(long previousVersion, long version) {
      // Ignored.
    }
  }
}
