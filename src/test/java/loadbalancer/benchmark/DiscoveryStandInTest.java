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
import loadbalancer.benchmark.Fleet.Entry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What the stand-in for discovery tells whom, by the protocol page. */
class DiscoveryStandInTest {

  private static final long PATIENCE_S = 30;

  private final List<Entry> entries = Fleet.entries(6, 2);
  private final DiscoveryStandIn discovery = new DiscoveryStandIn(entries, new Deaf());
  private final HttpClient client = HttpClient.newHttpClient();

  @AfterEach
  void close() {
    discovery.close();
  }

  private CompletableFuture<JsonNode> ask(String query) {
    URI uri =
        URI.create(
            "http://127.0.0.1:%d/catalog/members%s"
                .formatted(discovery.address(DiscoveryStandIn.HOLLOW).getPort(), query));
    return client
        .sendAsync(
            HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(PATIENCE_S)).build(),
            BodyHandlers.ofByteArray())
        .thenApply(
            answer -> {
              try {
                return Point.JSON.readTree(answer.body());
              } catch (IOException e) {
                throw new AssertionError(e);
              }
            });
  }

  private static void is(JsonNode answer, long version, boolean full, int servers) {
    assertEquals(version, answer.path("version").asLong(), answer.toString());
    assertEquals(full, answer.path("full").asBoolean(), answer.toString());
    assertEquals(servers, answer.path("servers").size(), answer.toString());
  }

  @Test
  void aWatchIsToldWhatChangedAndAWholeListHasNoneThatIsRemoved() throws Exception {
    is(ask("").get(), 1, true, 6);
    CompletableFuture<JsonNode> watch = ask("?index=1&wait=60000");
    discovery.change(List.of(entries.get(2).with("removed", 0)));
    discovery.change(List.of(entries.get(3).with("draining", 0)));
    JsonNode told = watch.get(PATIENCE_S, TimeUnit.SECONDS);
    // The watch may have come after one of the changes, and is told of both then.
    assertFalse(told.path("full").asBoolean());
    assertEquals("removed", told.path("servers").get(0).path("state").asText());
    is(ask("?index=1&wait=0").get(), 3, false, 2);
    is(ask("?index=2&wait=0").get(), 3, false, 1);
    is(ask("?index=3&wait=1").get(), 3, false, 0);
    is(ask("").get(), 3, true, 5);
  }

  @Test
  void whoAsksFromWhatIsForgottenOrNeverWasGetsTheWholeList() throws Exception {
    discovery.change(List.of(entries.get(0).with("draining", 0)));
    discovery.forget();
    is(ask("?index=1&wait=0").get(), 2, true, 6);
    is(ask("?index=9&wait=60000").get(), 2, true, 6);
    is(ask("?index=2&wait=0").get(), 2, false, 0);
    CompletableFuture<JsonNode> watch = ask("?index=2&wait=60000");
    discovery.resync();
    is(watch.get(PATIENCE_S, TimeUnit.SECONDS), 3, true, 6);
  }

  @Test
  void itResetsConnectionsWhileItRefusesAndAnswersAgainAfterwards() throws Exception {
    CompletableFuture<JsonNode> watch = ask("?index=1&wait=60000");
    discovery.mode(DiscoveryStandIn.Mode.REFUSING);
    assertThrows(ExecutionException.class, () -> watch.get(PATIENCE_S, TimeUnit.SECONDS));
    assertThrows(ExecutionException.class, () -> ask("").get());
    discovery.mode(DiscoveryStandIn.Mode.ANSWERING);
    is(ask("").get(), 1, true, 6);
  }

  /** Needs to hear of nothing. */
  static final class Deaf implements DiscoveryStandIn.Listener {

    @Override
    public void changed(long version) {
      // Not looked at here.
    }

    @Override
    public void acknowledged(long after, long version) {
      // Not looked at here.
    }
  }
}
