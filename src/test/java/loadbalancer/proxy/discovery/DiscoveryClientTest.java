package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.policy.LatencyWeightedPolicy;
import loadbalancer.proxy.FullBacklogListener;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedListener;
import loadbalancer.proxy.ScriptedPolicy;
import loadbalancer.proxy.config.ProxyConfig;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch, the fetch of the full list, and their failures, against a scripted discovery. */
@Timeout(60)
class DiscoveryClientTest {

  private static final Pattern WATCH =
      Pattern.compile("GET /catalog/members\\?index=(?<version>\\d+)&wait=(?<wait>\\d+) HTTP/1.1");

  /** Longer than any call may take, and shorter than the timeout of a test. */
  private static final long WATCH_LIMIT_MILLIS = 15_000;

  private final ProxyFixture fixture = new ProxyFixture();

  DiscoveryClientTest() throws IOException {
    fixture.policy.onStart = () -> fixture.policy.actions.watchEndpoints(true);
  }

  private void started() throws Exception {
    fixture.start();
    assertEquals(EndpointUpdateType.CACHED, ScriptedPolicy.takeNext(fixture.policy.updates));
  }

  /** Reads a watch request for changes after a version, and returns its wait in milliseconds. */
  private static int assertWatches(long version, HttpPeer watch) throws IOException {
    Matcher call = WATCH.matcher(watch.read().startLine());
    assertTrue(call.matches());
    assertEquals(version, Long.parseLong(call.group("version")));
    return Integer.parseInt(call.group("wait"));
  }

  /**
   * A discovery client without a proxy. It records the types of its updates, {@code WATCH_LATE}
   * when a watch has taken too long, and {@code FREE_DESCRIPTORS} when descriptors are to be freed.
   */
  private static final class StandaloneClient implements AutoCloseable {

    private static final String WATCH_LATE = "WATCH_LATE";
    private static final String FREE_DESCRIPTORS = "FREE_DESCRIPTORS";

    private final EventLoop loop =
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final DiscoveryClient discovery;

    /** Creates the sockets; changed on the loop only, once the client is in use. */
    private ChannelFactory<Channel> channelFactory = NioSocketChannel::new;

    /** Creates a client of the discovery at an address. */
    StandaloneClient(ProxyFixture fixture, String address, int watchMillis) throws Exception {
      Path file = Files.createTempFile("node", ".json");
      try {
        Files.writeString(file, fixture.config().replace(fixture.discovery.address(), address));
        discovery =
            new DiscoveryClient(
                ProxyConfig.read(file.toString()).discoverySettings(),
                new DiscoveryTransport(
                    loop,
                    ByteBufAllocator.DEFAULT,
                    () -> channelFactory.newChannel(),
                    () -> events.add(FREE_DESCRIPTORS)),
                (type, update) -> events.add(type.name()),
                watchMillis);
      } finally {
        Files.delete(file);
      }
    }

    /** Begins a watch and records {@code WATCH_LATE} after a time; the loop keeps their order. */
    void watch(long time) {
      loop.execute(
          () -> {
            discovery.watch(true);
            loop.schedule(() -> events.add(WATCH_LATE), time, TimeUnit.MILLISECONDS);
          });
    }

    @Override
    public void close() {
      loop.parent().shutdownGracefully();
    }
  }

  /** Watching the list in normal operation. */
  @Nested
  class Watch {

    @Test
    void watchContinuesFromTheLastVersion() throws Exception {
      try (fixture) {
        started();
        HttpPeer watch = fixture.discovery.accept();
        assertWatches(41, watch);
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    45, false, ProxyFixture.endpointEntry(0, "127.0.0.1:1", "draining"))));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatches(45, watch);
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(46, false)));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatches(46, watch);
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    47, false, "{\"id\":\"s-00000000\",\"state\":\"removed\"}")));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatches(47, watch);
      }
    }

    @Test
    void updatesReachAPolicyThatDoesNotWatchItself() throws Exception {
      try (fixture) {
        fixture.registryMode = "automatic";
        fixture.start(LatencyWeightedPolicy::new);
        HttpPeer watch = fixture.discovery.accept();
        assertWatches(41, watch);
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    42,
                    false,
                    ProxyFixture.endpointEntry(
                        0, fixture.upstreams.get(0).address(), "draining"))));
        // The next call shows that the update was applied. After a failure it is repeated.
        assertWatches(42, watch);
        watch.reset();
        assertWatches(42, fixture.discovery.accept());
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("drained", "0.5"));
        assertEquals(503, client.read().status());
        assertEquals(0, fixture.upstreams.get(0).pendingConnections());
      }
    }

    @Test
    void watchContinuesOnANewConnectionAfterConnectionClose() throws Exception {
      try (fixture) {
        started();
        HttpPeer watch = fixture.discovery.accept();
        assertWatches(41, watch);
        watch.write(
            ProxyFixture.okResponse(ProxyFixture.endpointList(42, false))
                .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertTrue(watch.isClosedByPeer());
        assertWatches(42, fixture.discovery.accept());
        assertTrue(fixture.policy.updates.isEmpty());
      }
    }

    @Test
    void fullListWithALowerVersionIsApplied() throws Exception {
      try (fixture) {
        started();
        HttpPeer watch = fixture.discovery.accept();
        assertWatches(41, watch);
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    7,
                    true,
                    ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatches(7, watch);
      }
    }

    @Test
    void indentedListIsAccepted() throws Exception {
      try (fixture) {
        started();
        HttpPeer watch = fixture.discovery.accept();
        watch.read();
        String plain =
            ProxyFixture.endpointList(
                45, true, ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"));
        watch.write(
            ProxyFixture.okResponse(
                new JsonMapper()
                    .writerWithDefaultPrettyPrinter()
                    .writeValueAsString(new JsonMapper().readTree(plain))
                    .replace("\n", "\r\n\t")));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatches(45, watch);
        fixture.assertStillServes();
      }
    }

    @Test
    void instancesWithDifferentSeedsWaitForDifferentTimes() throws Exception {
      List<Integer> first = new ArrayList<>();
      List<Integer> second = new ArrayList<>();
      for (List<Integer> waits : List.of(first, second)) {
        try (ProxyFixture copy = new ProxyFixture()) {
          copy.seed = waits == first ? "1" : "2";
          copy.registryMode = "automatic";
          copy.start(LatencyWeightedPolicy::new);
          HttpPeer watch = copy.discovery.accept();
          // The first watch does not wait in either instance.
          assertEquals(0, assertWatches(41, watch));
          watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
          for (int version = 42; version < 50; version++) {
            waits.add(assertWatches(version, watch));
            watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(version + 1, false)));
          }
        }
      }
      for (int i = 0; i < first.size(); i++) {
        assertNotEquals(first.get(i), second.get(i));
      }
      assertTrue(first.stream().distinct().count() > 1);
    }

    @Test
    void watchIsRestartedWhenTheListedEndpointsAreUnreachable() throws Exception {
      try (ProxyFixture two = new ProxyFixture(2)) {
        two.upstreams.get(0).close();
        two.knownEndpoints = 1;
        two.pollIntervalMillis = 0;
        two.maxAttempts = 3;
        two.start(LatencyWeightedPolicy::new);
        HttpPeer silent = two.discovery.accept();
        assertWatches(41, silent);
        HttpPeer client = two.connectClient();
        client.write(ProxyFixture.idempotentRequest("d1", "5"));
        assertEquals(503, client.read().status());
        // The old watch is closed, and the new one covers what it missed.
        HttpPeer watch = two.discovery.accept();
        assertWatches(41, watch);
        assertTrue(silent.isClosedByPeer());
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    42,
                    false,
                    "{\"id\":\"s-00000000\",\"state\":\"removed\"}",
                    ProxyFixture.endpointEntry(1, two.upstreams.get(1).address(), "up"))));
        assertWatches(42, watch);
        client.write(ProxyFixture.idempotentRequest("d2", "5"));
        HttpPeer upstream = two.upstreams.get(1).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("served"));
        assertEquals(200, client.read().status());
      }
    }

    @Test
    void deadWatchIsReplacedBeforeMissedUpdatesCountAsNotified() throws Exception {
      try (fixture) {
        fixture.registryMode = "automatic";
        fixture.start(LatencyWeightedPolicy::new);
        HttpPeer silent = fixture.discovery.accept();
        assertEquals(0, assertWatches(41, silent));
        silent.write(ProxyFixture.okResponse(ProxyFixture.endpointList(41, false)));
        // Updates count as notified after 6 s; the dead watch must have timed out by then.
        int wait = assertWatches(41, silent);
        assertTrue(wait > 0 && wait <= 2_000);
        HttpPeer watch = fixture.discovery.accept();
        assertTrue(silent.isClosedByPeer());
        assertWatches(41, watch);
      }
    }
  }

  /** Responses that are malformed or cannot be applied. */
  @Nested
  class InvalidResponse {

    @ParameterizedTest
    @ValueSource(
        strings = {
          "",
          "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
          "garbage\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"version\":",
          "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"version\":",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
          "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"version\":50,\"servers\":[{}]}"
        })
    void invalidResponseIsAFailureAndTheKnownListStaysInUse(String answer) throws Exception {
      try (fixture) {
        started();
        HttpPeer watch = fixture.discovery.accept();
        watch.read();
        watch.write(answer);
        watch.close();
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(fixture.policy.updates));
        fixture.assertStillServes();
        // One call is one failure, and the policy can continue from the known version.
        assertTrue(fixture.policy.updates.isEmpty());
        fixture.policy.onRequest =
            request -> {
              fixture.policy.actions.reject(request.id(), 0);
              fixture.policy.actions.watchEndpoints(true);
            };
        fixture.connectClient().write(ProxyFixture.idempotentRequest("again", "10"));
        assertWatches(41, fixture.discovery.accept());
      }
    }

    @Test
    void truncatedListLeavesAllSixtyEndpointsInUse() throws Exception {
      try (ProxyFixture many = new ProxyFixture(60)) {
        many.policy.onStart = () -> many.policy.actions.watchEndpoints(true);
        many.start();
        assertEquals(EndpointUpdateType.CACHED, ScriptedPolicy.takeNext(many.policy.updates));
        HttpPeer watch = many.discovery.accept();
        watch.read();
        String fewer =
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    42,
                    true,
                    IntStream.range(0, 24)
                        .mapToObj(
                            i ->
                                ProxyFixture.endpointEntry(
                                    i, many.upstreams.get(i).address(), "up"))
                        .toArray(String[]::new)));
        watch.write(fewer.substring(0, fewer.length() / 2));
        watch.close();
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(many.policy.updates));
        HttpPeer client = many.connectClient();
        for (int i = 0; i < 60; i++) {
          int place = i;
          many.policy.onRequest = request -> many.policy.sendTo(place, request, 0);
          client.write(ProxyFixture.idempotentRequest("still" + i, "10"));
          HttpPeer upstream = many.upstreams.get(i).accept();
          upstream.read();
          upstream.write(ProxyFixture.okResponse("well"));
          assertEquals(200, client.read().status());
        }
        assertTrue(many.policy.updates.isEmpty());
      }
    }

    @Test
    void endlessResponseIsAFailureAndTheKnownListStaysInUse() throws Exception {
      try (fixture) {
        started();
        HttpPeer watch = fixture.discovery.accept();
        watch.read();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String chunk = "10000\r\n" + " ".repeat(0x10000) + "\r\n";
        try {
          while (true) {
            watch.write(chunk);
          }
        } catch (IOException e) {
          // The client has closed the connection.
        }
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(fixture.policy.updates));
        fixture.assertStillServes();
        assertTrue(fixture.policy.updates.isEmpty());
      }
    }

    @Test
    void fullListIsRequestedAfterAnUpdateCouldNotBeApplied() throws Exception {
      try (fixture) {
        started();
        fixture.policy.onUpdate =
            change -> {
              if (change == EndpointUpdateType.DELTA) {
                throw new IllegalStateException("made by a test");
              }
            };
        HttpPeer watch = fixture.discovery.accept();
        assertWatches(41, watch);
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    45, false, ProxyFixture.endpointEntry(0, "127.0.0.1:1", "draining"))));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(fixture.policy.updates));
        fixture.policy.onRequest =
            request -> {
              fixture.policy.actions.reject(request.id(), 0);
              fixture.policy.actions.watchEndpoints(true);
            };
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("again", "10"));
        client.read();
        // The only call since then, over the same connection.
        assertEquals("GET /catalog/members HTTP/1.1", watch.read().startLine());
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    45,
                    true,
                    ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatches(45, watch);
        assertEquals(0, fixture.discovery.pendingConnections());
        fixture.policy.onRequest = request -> fixture.policy.sendTo(0, request, 0);
        fixture.assertStillServes();
      }
    }
  }

  /** Calls without a response, and the calls after them. */
  @Nested
  class FailedCall {

    @Test
    void refusedConnectionIsAFailure() throws Exception {
      try (fixture) {
        fixture.discovery.close();
        started();
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(fixture.policy.updates));
      }
    }

    @Test
    void policyRestartsTheWatchAfterAFailure() throws Exception {
      try (fixture) {
        fixture.start(loadbalancer.policy.LatencyWeightedPolicy::new);
        fixture.discovery.accept().reset();
        assertWatches(41, fixture.discovery.accept());
      }
    }

    @Test
    void missingResponseIsAFailureAfterTheWait() throws Exception {
      try (fixture;
          StandaloneClient standalone =
              new StandaloneClient(fixture, fixture.discovery.address(), 100)) {
        standalone.watch(WATCH_LIMIT_MILLIS);
        HttpPeer watch = fixture.discovery.accept();
        int wait = assertWatches(41, watch);
        assertTrue(wait >= 50 && wait <= 100);
        assertTrue(watch.isClosedByPeer());
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
      }
    }

    @Test
    void callAfterAFailureHasTheFullTimeout() throws Exception {
      try (fixture;
          StandaloneClient standalone =
              new StandaloneClient(fixture, fixture.discovery.address(), 20_000)) {
        standalone.watch(WATCH_LIMIT_MILLIS);
        HttpPeer refused = fixture.discovery.accept();
        refused.read();
        refused.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
        standalone.watch(1_500);
        HttpPeer slow = fixture.discovery.accept();
        slow.read();
        // A discovery under load must not get a second call before the first has timed out.
        assertEquals(StandaloneClient.WATCH_LATE, ScriptedPolicy.takeNext(standalone.events));
        String entry = ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up");
        slow.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, true, entry)));
        assertEquals("FULL", ScriptedPolicy.takeNext(standalone.events));
      }
    }

    @Test
    void connectTimeoutIsAFailureAfterOneSecond() throws Exception {
      try (fixture;
          FullBacklogListener full = new FullBacklogListener();
          StandaloneClient standalone =
              new StandaloneClient(fixture, full.address(), DiscoveryClient.MAX_WATCH_MILLIS)) {
        standalone.watch(WATCH_LIMIT_MILLIS);
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
      }
    }

    @Test
    void missingDescriptorFailsTheCallAndFreesSomeForTheNext() throws Exception {
      try (fixture;
          StandaloneClient standalone =
              new StandaloneClient(
                  fixture, fixture.discovery.address(), DiscoveryClient.MAX_WATCH_MILLIS)) {
        standalone.channelFactory =
            () -> {
              throw new ChannelException("made by a test");
            };
        for (int i = 0; i < 2; i++) {
          standalone.watch(WATCH_LIMIT_MILLIS);
          assertEquals(
              StandaloneClient.FREE_DESCRIPTORS, ScriptedPolicy.takeNext(standalone.events));
          assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
        }
        standalone.loop.execute(() -> standalone.channelFactory = NioSocketChannel::new);
        standalone.watch(WATCH_LIMIT_MILLIS);
        HttpPeer watch = fixture.discovery.accept();
        assertWatches(41, watch);
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
        assertEquals("DELTA", ScriptedPolicy.takeNext(standalone.events));
      }
    }

    @Test
    void tricklingResponseIsAFailureAfterTheTimeout() throws Exception {
      try (fixture;
          StandaloneClient standalone =
              new StandaloneClient(fixture, fixture.discovery.address(), 100)) {
        standalone.watch(WATCH_LIMIT_MILLIS);
        HttpPeer watch = fixture.discovery.accept();
        assertWatches(41, watch);
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        try {
          while (standalone.events.isEmpty()) {
            watch.write("1\r\n \r\n");
            TimeUnit.MILLISECONDS.sleep(1);
          }
        } catch (IOException e) {
          // The client has closed the connection.
        }
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
      }
    }

    @Test
    void callAfterAFailureDoesNotWaitAndTimesOut() throws Exception {
      try (fixture;
          StandaloneClient standalone =
              new StandaloneClient(
                  fixture, fixture.discovery.address(), DiscoveryClient.MAX_WATCH_MILLIS)) {
        standalone.watch(WATCH_LIMIT_MILLIS);
        fixture.discovery.accept().reset();
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
        standalone.watch(WATCH_LIMIT_MILLIS);
        HttpPeer silent = fixture.discovery.accept();
        // A watch that waited would show a dead discovery only after its wait.
        assertEquals(0, assertWatches(41, silent));
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
        standalone.watch(WATCH_LIMIT_MILLIS);
        HttpPeer watch = fixture.discovery.accept();
        assertEquals(0, assertWatches(41, watch));
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
        // After a response, watches wait again.
        assertTrue(assertWatches(42, watch) > 0);
      }
    }

    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void watchAfterFailuresDoesNotWait(String mode) throws Exception {
      try (fixture) {
        fixture.registryMode = mode;
        fixture.firstEndpointListTimeoutMillis = 1;
        fixture.start(LatencyWeightedPolicy::new);
        HttpPeer first = fixture.discovery.accept();
        assertWatches(41, first);
        first.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
        assertWatches(42, first);
        first.reset();
        for (int i = 0; i < 2; i++) {
          fixture.discovery.accept().reset();
        }
        HttpPeer watch = fixture.discovery.accept();
        assertEquals(0, assertWatches(42, watch));
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(43, false)));
        assertTrue(assertWatches(43, watch) >= DiscoveryClient.MAX_WATCH_MILLIS / 2);
      }
    }
  }

  /** The first response of a new process. */
  @Nested
  class Start {

    @Test
    void startWaitsForTheFirstDiscoveryResponse() throws Exception {
      CountDownLatch started = new CountDownLatch(1);
      try (fixture) {
        fixture.registryMode = "automatic";
        fixture.policy.onStart = () -> {};
        fixture.firstEndpointListTimeoutMillis = HttpPeer.TIMEOUT_MILLIS;
        Thread agent =
            new Thread(
                () -> {
                  try {
                    HttpPeer watch = fixture.discovery.accept();
                    // Only an immediate response shows that the known list is up to date.
                    assertEquals(0, assertWatches(41, watch));
                    // A proxy that did not wait for this response would serve by now.
                    started.await(300, TimeUnit.MILLISECONDS);
                    watch.write(
                        ProxyFixture.okResponse(
                            ProxyFixture.endpointList(
                                42,
                                false,
                                ProxyFixture.endpointEntry(
                                    0, fixture.upstreams.get(0).address(), "draining"))));
                  } catch (IOException | InterruptedException e) {
                    throw new AssertionError(e);
                  }
                });
        agent.start();
        fixture.start();
        started.countDown();
        assertEquals(EndpointUpdateType.CACHED, fixture.policy.updates.poll());
        assertEquals(EndpointUpdateType.DELTA, fixture.policy.updates.poll());
        agent.join();
      }
    }

    @Test
    void startServesFromTheKnownListIfDiscoveryDoesNotRespond() throws Exception {
      try (fixture) {
        fixture.registryMode = "automatic";
        fixture.policy.onStart = () -> {};
        fixture.firstEndpointListTimeoutMillis = 1;
        fixture.start();
        fixture.discovery.accept().read();
        fixture.assertStillServes();
      }
    }
  }

  /** The fetch of the full list. */
  @Nested
  class Fetch {

    @Test
    void fetchRequestsTheFullList() throws Exception {
      try (fixture) {
        fixture.policy.onStart = () -> fixture.policy.actions.fetchEndpoints();
        started();
        HttpPeer call = fixture.discovery.accept();
        assertEquals("GET /catalog/members HTTP/1.1", call.read().startLine());
        call.write(ProxyFixture.okResponse(ProxyFixture.endpointList(50, true)));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
      }
    }

    @Test
    void fetchClosesItsConnection() throws Exception {
      try (fixture) {
        fixture.policy.onStart = () -> fixture.policy.actions.fetchEndpoints();
        started();
        HttpPeer call = fixture.discovery.accept();
        call.read();
        call.write(ProxyFixture.okResponse(ProxyFixture.endpointList(50, true)));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertTrue(call.isClosedByPeer());
      }
    }
  }

  /** A reload that names another discovery. */
  @Nested
  class Switch {

    @Test
    void switchRequestsTheFullListAndCancelsTheOldWatch() throws Exception {
      Path file = Files.createTempFile("node", ".json");
      try (fixture;
          ScriptedListener second = new ScriptedListener();
          ScriptedListener third = new ScriptedListener()) {
        started();
        HttpPeer old = fixture.discovery.accept();
        old.read();
        ScriptedListener[] moves = {second, third};
        for (ScriptedListener move : moves) {
          Files.writeString(
              file, fixture.config().replace(fixture.discovery.address(), move.address()));
          fixture.server.reload(ProxyConfig.read(file.toString()));
          HttpPeer fresh = move.accept();
          assertEquals("GET /catalog/members HTTP/1.1", fresh.read().startLine());
          assertTrue(old.isClosedByPeer());
          fresh.write(
              ProxyFixture.okResponse(
                  ProxyFixture.endpointList(
                      7,
                      true,
                      ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
          // The cancelled watch was not reported as a failure.
          assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
          assertWatches(7, fresh);
          old = fresh;
        }
        fixture.assertStillServes();
      } finally {
        Files.delete(file);
      }
    }

    @Test
    void responsesOfTheOldDiscoveryAreIgnoredAfterASwitch() throws Exception {
      Path file = Files.createTempFile("node", ".json");
      try (fixture;
          ScriptedListener second = new ScriptedListener()) {
        fixture.policy.onStart =
            () -> {
              fixture.policy.actions.watchEndpoints(true);
              fixture.policy.actions.fetchEndpoints();
            };
        started();
        HttpPeer[] old = {fixture.discovery.accept(), fixture.discovery.accept()};
        old[0].read();
        old[1].read();
        Files.writeString(
            file, fixture.config().replace(fixture.discovery.address(), second.address()));
        fixture.server.reload(ProxyConfig.read(file.toString()));
        HttpPeer watch = second.accept();
        watch.read();
        for (HttpPeer call : old) {
          try {
            call.write(ProxyFixture.okResponse(ProxyFixture.endpointList(99, true)));
          } catch (IOException e) {
            // The connection of the watch is closed already.
          }
        }
        // The fetch is repeated at the new address.
        HttpPeer fetch = second.accept();
        assertEquals("GET /catalog/members HTTP/1.1", fetch.read().startLine());
        assertTrue(fixture.policy.updates.isEmpty());
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    7,
                    true,
                    ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatches(7, watch);
        fixture.assertStillServes();
      } finally {
        Files.delete(file);
      }
    }

    @Test
    void switchToTheSameDiscoveryOrBackLeavesOneWatch() throws Exception {
      Path first = Files.createTempFile("node", ".json");
      Path other = Files.createTempFile("node", ".json");
      try (fixture;
          ScriptedListener second = new ScriptedListener()) {
        started();
        HttpPeer watch = fixture.discovery.accept();
        assertWatches(41, watch);
        Files.writeString(first, fixture.config());
        Files.writeString(
            other, fixture.config().replace(fixture.discovery.address(), second.address()));
        fixture.server.reload(ProxyConfig.read(first.toString()));
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatches(42, watch);
        // Of two reloads in a row, the later one counts.
        fixture.server.reload(ProxyConfig.read(other.toString()));
        fixture.server.reload(ProxyConfig.read(first.toString()));
        assertTrue(watch.isClosedByPeer());
        HttpPeer back = fixture.discovery.accept();
        assertEquals("GET /catalog/members HTTP/1.1", back.read().startLine());
        back.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    3,
                    true,
                    ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatches(3, back);
        fixture.assertStillServes();
      } finally {
        Files.delete(first);
        Files.delete(other);
      }
    }

    @Test
    void fullListIsRequestedAgainAfterTheNewDiscoveryFailed() throws Exception {
      Path file = Files.createTempFile("node", ".json");
      try (fixture;
          ScriptedListener second = new ScriptedListener()) {
        started();
        fixture.discovery.accept().read();
        Files.writeString(
            file, fixture.config().replace(fixture.discovery.address(), second.address()));
        fixture.server.reload(ProxyConfig.read(file.toString()));
        second.accept().reset();
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(fixture.policy.updates));
        fixture.policy.onRequest =
            request -> {
              fixture.policy.actions.reject(request.id(), 0);
              fixture.policy.actions.watchEndpoints(true);
            };
        fixture.connectClient().write(ProxyFixture.idempotentRequest("again", "10"));
        assertEquals("GET /catalog/members HTTP/1.1", second.accept().read().startLine());
      } finally {
        Files.delete(file);
      }
    }
  }
}
