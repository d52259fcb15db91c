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

/** Tests the watch, the fetch of the full list and their failures with a scripted discovery. */
@Timeout(60)
class DiscoveryClientTest {

  private static final Pattern WATCH_REQUEST_LINE =
      Pattern.compile("GET /catalog/members\\?index=(?<version>\\d+)&wait=(?<wait>\\d+) HTTP/1.1");

  /** Longer than any call may take, and shorter than the 20 s for which tests await an event. */
  private static final long WATCH_LATE_MILLIS = 15_000;

  private final ProxyFixture fixture = new ProxyFixture();

  DiscoveryClientTest() throws IOException {
    fixture.policy.onStart = () -> fixture.policy.actions.watchEndpoints(true);
  }

  private void startProxy() throws Exception {
    fixture.start();
    assertEquals(EndpointUpdateType.CACHED, ScriptedPolicy.takeNext(fixture.policy.updates));
  }

  /**
   * Reads a request, asserts that it is a watch for updates after a version, and returns the wait
   * that it asks for, in milliseconds.
   */
  private static int assertWatchRequest(long expectedVersion, HttpPeer connection)
      throws IOException {
    Matcher matcher = WATCH_REQUEST_LINE.matcher(connection.read().startLine());
    assertTrue(matcher.matches());
    assertEquals(expectedVersion, Long.parseLong(matcher.group("version")));
    return Integer.parseInt(matcher.group("wait"));
  }

  /**
   * A discovery client without a proxy. It records the type of each update, {@code WATCH_LATE} some
   * time after the start of a watch, and {@code FREE_DESCRIPTORS} when it asks to free descriptors.
   */
  private static final class StandaloneClient implements AutoCloseable {

    private static final String WATCH_LATE = "WATCH_LATE";
    private static final String FREE_DESCRIPTORS = "FREE_DESCRIPTORS";

    private final EventLoop loop =
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final DiscoveryClient discovery;

    /** Creates the sockets. Once the client is in use, it is changed on the event loop only. */
    private ChannelFactory<Channel> channelFactory = NioSocketChannel::new;

    /**
     * Creates a client.
     *
     * @param address the address of discovery
     * @param watchMillis the longest time for which a watch asks discovery to wait for an update
     */
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

    /**
     * Starts a watch, and records {@code WATCH_LATE} after a time. The event loop records all
     * events, so they are in the order in which they occurred.
     */
    void watch(long lateMillis) {
      loop.execute(
          () -> {
            discovery.watch(true);
            loop.schedule(() -> events.add(WATCH_LATE), lateMillis, TimeUnit.MILLISECONDS);
          });
    }

    @Override
    public void close() {
      loop.parent().shutdownGracefully();
    }
  }

  /** The watch while discovery responds. */
  @Nested
  class Watch {

    @Test
    void watchContinuesFromTheLastVersion() throws Exception {
      try (fixture) {
        startProxy();
        HttpPeer watch = fixture.discovery.accept();
        assertWatchRequest(41, watch);
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    45, false, ProxyFixture.endpointEntry(0, "127.0.0.1:1", "draining"))));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatchRequest(45, watch);
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(46, false)));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatchRequest(46, watch);
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    47, false, "{\"id\":\"s-00000000\",\"state\":\"removed\"}")));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatchRequest(47, watch);
      }
    }

    @Test
    void updatesReachAPolicyThatDoesNotWatchItself() throws Exception {
      try (fixture) {
        fixture.registryMode = "automatic";
        fixture.start(LatencyWeightedPolicy::new);
        HttpPeer watch = fixture.discovery.accept();
        assertWatchRequest(41, watch);
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    42,
                    false,
                    ProxyFixture.endpointEntry(
                        0, fixture.upstreams.get(0).address(), "draining"))));
        // The next watch shows that the update was applied. A failed watch is repeated.
        assertWatchRequest(42, watch);
        watch.reset();
        assertWatchRequest(42, fixture.discovery.accept());
        HttpPeer client = fixture.connectClient();
        client.write(ProxyFixture.idempotentRequest("drained", "0.5"));
        assertEquals(503, client.read().status());
        assertEquals(0, fixture.upstreams.get(0).pendingConnections());
      }
    }

    @Test
    void watchContinuesOnANewConnectionAfterConnectionClose() throws Exception {
      try (fixture) {
        startProxy();
        HttpPeer watch = fixture.discovery.accept();
        assertWatchRequest(41, watch);
        watch.write(
            ProxyFixture.okResponse(ProxyFixture.endpointList(42, false))
                .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertTrue(watch.isClosedByPeer());
        assertWatchRequest(42, fixture.discovery.accept());
        assertTrue(fixture.policy.updates.isEmpty());
      }
    }

    @Test
    void fullListWithALowerVersionIsApplied() throws Exception {
      try (fixture) {
        startProxy();
        HttpPeer watch = fixture.discovery.accept();
        assertWatchRequest(41, watch);
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    7,
                    true,
                    ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatchRequest(7, watch);
      }
    }

    @Test
    void indentedListIsAccepted() throws Exception {
      try (fixture) {
        startProxy();
        HttpPeer watch = fixture.discovery.accept();
        watch.read();
        String unindentedList =
            ProxyFixture.endpointList(
                45, true, ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"));
        watch.write(
            ProxyFixture.okResponse(
                new JsonMapper()
                    .writerWithDefaultPrettyPrinter()
                    .writeValueAsString(new JsonMapper().readTree(unindentedList))
                    .replace("\n", "\r\n\t")));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatchRequest(45, watch);
        fixture.assertStillServes();
      }
    }

    @Test
    void instancesWithDifferentSeedsWaitForDifferentTimes() throws Exception {
      List<Integer> waitsOfFirst = new ArrayList<>();
      List<Integer> waitsOfSecond = new ArrayList<>();
      for (List<Integer> waits : List.of(waitsOfFirst, waitsOfSecond)) {
        try (ProxyFixture proxy = new ProxyFixture()) {
          proxy.seed = waits == waitsOfFirst ? "1" : "2";
          proxy.registryMode = "automatic";
          proxy.start(LatencyWeightedPolicy::new);
          HttpPeer watch = proxy.discovery.accept();
          // The first watch does not wait in either instance.
          assertEquals(0, assertWatchRequest(41, watch));
          watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
          for (int version = 42; version < 50; version++) {
            waits.add(assertWatchRequest(version, watch));
            watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(version + 1, false)));
          }
        }
      }
      for (int i = 0; i < waitsOfFirst.size(); i++) {
        assertNotEquals(waitsOfFirst.get(i), waitsOfSecond.get(i));
      }
      assertTrue(waitsOfFirst.stream().distinct().count() > 1);
    }

    @Test
    void watchIsRestartedWhenTheListedEndpointsAreUnreachable() throws Exception {
      try (ProxyFixture proxy = new ProxyFixture(2)) {
        proxy.upstreams.get(0).close();
        proxy.configuredEndpoints = 1;
        proxy.pollIntervalMillis = 0;
        proxy.maxAttempts = 3;
        proxy.start(LatencyWeightedPolicy::new);
        HttpPeer silentWatch = proxy.discovery.accept();
        assertWatchRequest(41, silentWatch);
        HttpPeer client = proxy.connectClient();
        client.write(ProxyFixture.idempotentRequest("d1", "5"));
        assertEquals(503, client.read().status());
        // The proxy has restarted the watch; the new one brings the update that the old one missed.
        HttpPeer watch = proxy.discovery.accept();
        assertWatchRequest(41, watch);
        assertTrue(silentWatch.isClosedByPeer());
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    42,
                    false,
                    "{\"id\":\"s-00000000\",\"state\":\"removed\"}",
                    ProxyFixture.endpointEntry(1, proxy.upstreams.get(1).address(), "up"))));
        assertWatchRequest(42, watch);
        client.write(ProxyFixture.idempotentRequest("d2", "5"));
        HttpPeer upstream = proxy.upstreams.get(1).accept();
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
        HttpPeer silentWatch = fixture.discovery.accept();
        assertEquals(0, assertWatchRequest(41, silentWatch));
        silentWatch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(41, false)));
        // By the platform's rules, an update that a silent watch missed counts as notified at the
        // latest 6 s after the watch fell silent. A dead watch must have timed out and been
        // replaced by then, so its wait is at most 2 s.
        int waitMillis = assertWatchRequest(41, silentWatch);
        assertTrue(waitMillis > 0 && waitMillis <= 2_000);
        HttpPeer watch = fixture.discovery.accept();
        assertTrue(silentWatch.isClosedByPeer());
        assertWatchRequest(41, watch);
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
    void invalidResponseIsAFailureAndTheKnownListStaysInUse(String response) throws Exception {
      try (fixture) {
        startProxy();
        HttpPeer watch = fixture.discovery.accept();
        watch.read();
        watch.write(response);
        watch.close();
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(fixture.policy.updates));
        fixture.assertStillServes();
        // The call is reported as failed once, and a new watch continues from the known version.
        assertTrue(fixture.policy.updates.isEmpty());
        fixture.policy.onRequest =
            request -> {
              fixture.policy.actions.reject(request.id(), 0);
              fixture.policy.actions.watchEndpoints(true);
            };
        fixture.connectClient().write(ProxyFixture.idempotentRequest("again", "10"));
        assertWatchRequest(41, fixture.discovery.accept());
      }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void onlyFinEndsListWithoutLength(boolean reset) throws Exception {
      try (fixture) {
        startProxy();
        HttpPeer watch = fixture.discovery.accept();
        watch.read();
        watch.socket.setSoLinger(reset, 0);
        watch.write("HTTP/1.1 200 OK\r\n\r\n" + ProxyFixture.endpointList(42, false));
        watch.close();
        var expected = reset ? EndpointUpdateType.FAILED : EndpointUpdateType.DELTA;
        assertEquals(expected, ScriptedPolicy.takeNext(fixture.policy.updates));
      }
    }

    @Test
    void truncatedListLeavesAllSixtyEndpointsInUse() throws Exception {
      try (ProxyFixture proxy = new ProxyFixture(60)) {
        proxy.policy.onStart = () -> proxy.policy.actions.watchEndpoints(true);
        proxy.start();
        assertEquals(EndpointUpdateType.CACHED, ScriptedPolicy.takeNext(proxy.policy.updates));
        HttpPeer watch = proxy.discovery.accept();
        watch.read();
        String response =
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    42,
                    true,
                    IntStream.range(0, 24)
                        .mapToObj(
                            i ->
                                ProxyFixture.endpointEntry(
                                    i, proxy.upstreams.get(i).address(), "up"))
                        .toArray(String[]::new)));
        watch.write(response.substring(0, response.length() / 2));
        watch.close();
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(proxy.policy.updates));
        HttpPeer client = proxy.connectClient();
        for (int i = 0; i < 60; i++) {
          int upstreamIndex = i;
          proxy.policy.onRequest = request -> proxy.policy.sendTo(upstreamIndex, request, 0);
          client.write(ProxyFixture.idempotentRequest("still" + i, "10"));
          HttpPeer upstream = proxy.upstreams.get(i).accept();
          upstream.read();
          upstream.write(ProxyFixture.okResponse("well"));
          assertEquals(200, client.read().status());
        }
        assertTrue(proxy.policy.updates.isEmpty());
      }
    }

    @Test
    void endlessResponseIsAFailureAndTheKnownListStaysInUse() throws Exception {
      try (fixture) {
        startProxy();
        HttpPeer watch = fixture.discovery.accept();
        watch.read();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String chunk = "10000\r\n" + " ".repeat(0x10000) + "\r\n";
        try {
          while (true) {
            watch.write(chunk);
          }
        } catch (IOException e) {
          // The proxy has closed the connection.
        }
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(fixture.policy.updates));
        fixture.assertStillServes();
        assertTrue(fixture.policy.updates.isEmpty());
      }
    }

    @Test
    void fullListIsRequestedAfterAnUpdateCouldNotBeApplied() throws Exception {
      try (fixture) {
        startProxy();
        fixture.policy.onUpdate =
            change -> {
              if (change == EndpointUpdateType.DELTA) {
                throw new IllegalStateException("thrown by the test");
              }
            };
        HttpPeer watch = fixture.discovery.accept();
        assertWatchRequest(41, watch);
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
        // The client made no other call since the failure, and used the same connection.
        assertEquals("GET /catalog/members HTTP/1.1", watch.read().startLine());
        watch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    45,
                    true,
                    ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatchRequest(45, watch);
        assertEquals(0, fixture.discovery.pendingConnections());
        fixture.policy.onRequest = request -> fixture.policy.sendTo(0, request, 0);
        fixture.assertStillServes();
      }
    }
  }

  /** Calls without a usable response, and the calls after them. */
  @Nested
  class FailedCall {

    @Test
    void refusedConnectionIsAFailure() throws Exception {
      try (fixture) {
        fixture.discovery.close();
        startProxy();
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(fixture.policy.updates));
      }
    }

    @Test
    void policyRestartsTheWatchAfterAFailure() throws Exception {
      try (fixture) {
        fixture.start(loadbalancer.policy.LatencyWeightedPolicy::new);
        fixture.discovery.accept().reset();
        assertWatchRequest(41, fixture.discovery.accept());
      }
    }

    @Test
    void missingResponseIsAFailureAfterTheWait() throws Exception {
      try (fixture;
          StandaloneClient standalone =
              new StandaloneClient(fixture, fixture.discovery.address(), 100)) {
        standalone.watch(WATCH_LATE_MILLIS);
        HttpPeer watch = fixture.discovery.accept();
        int waitMillis = assertWatchRequest(41, watch);
        assertTrue(waitMillis >= 50 && waitMillis <= 100);
        assertTrue(watch.isClosedByPeer());
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
      }
    }

    @Test
    void callAfterAFailureHasTheFullTimeout() throws Exception {
      try (fixture;
          StandaloneClient standalone =
              new StandaloneClient(fixture, fixture.discovery.address(), 20_000)) {
        standalone.watch(WATCH_LATE_MILLIS);
        HttpPeer firstWatch = fixture.discovery.accept();
        firstWatch.read();
        firstWatch.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
        standalone.watch(1_500);
        HttpPeer secondWatch = fixture.discovery.accept();
        secondWatch.read();
        // The second call must still be pending: an overloaded discovery must not get another one
        // before the full timeout.
        assertEquals(StandaloneClient.WATCH_LATE, ScriptedPolicy.takeNext(standalone.events));
        String entry = ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up");
        secondWatch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, true, entry)));
        assertEquals("FULL", ScriptedPolicy.takeNext(standalone.events));
      }
    }

    @Test
    void connectTimeoutIsAFailureAfterOneSecond() throws Exception {
      try (fixture;
          FullBacklogListener fullListener = new FullBacklogListener();
          StandaloneClient standalone =
              new StandaloneClient(
                  fixture, fullListener.address(), DiscoveryClient.MAX_WATCH_MILLIS)) {
        standalone.watch(WATCH_LATE_MILLIS);
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
              throw new ChannelException("thrown by the test");
            };
        for (int i = 0; i < 2; i++) {
          standalone.watch(WATCH_LATE_MILLIS);
          assertEquals(
              StandaloneClient.FREE_DESCRIPTORS, ScriptedPolicy.takeNext(standalone.events));
          assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
        }
        standalone.loop.execute(() -> standalone.channelFactory = NioSocketChannel::new);
        standalone.watch(WATCH_LATE_MILLIS);
        HttpPeer watch = fixture.discovery.accept();
        assertWatchRequest(41, watch);
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
        assertEquals("DELTA", ScriptedPolicy.takeNext(standalone.events));
      }
    }

    @Test
    void tricklingResponseIsAFailureAfterTheTimeout() throws Exception {
      try (fixture;
          StandaloneClient standalone =
              new StandaloneClient(fixture, fixture.discovery.address(), 100)) {
        standalone.watch(WATCH_LATE_MILLIS);
        HttpPeer watch = fixture.discovery.accept();
        assertWatchRequest(41, watch);
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
        standalone.watch(WATCH_LATE_MILLIS);
        fixture.discovery.accept().reset();
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
        standalone.watch(WATCH_LATE_MILLIS);
        HttpPeer silentWatch = fixture.discovery.accept();
        // With a wait, a dead discovery would be detected only after that wait.
        assertEquals(0, assertWatchRequest(41, silentWatch));
        assertEquals("FAILED", ScriptedPolicy.takeNext(standalone.events));
        standalone.watch(WATCH_LATE_MILLIS);
        HttpPeer watch = fixture.discovery.accept();
        assertEquals(0, assertWatchRequest(41, watch));
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
        // After a response, watches ask discovery to wait again.
        assertTrue(assertWatchRequest(42, watch) > 0);
      }
    }

    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void watchAfterFailuresDoesNotWait(String registryMode) throws Exception {
      try (fixture) {
        fixture.registryMode = registryMode;
        fixture.firstEndpointListTimeoutMillis = 1;
        fixture.start(LatencyWeightedPolicy::new);
        HttpPeer firstWatch = fixture.discovery.accept();
        assertWatchRequest(41, firstWatch);
        firstWatch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
        assertWatchRequest(42, firstWatch);
        firstWatch.reset();
        for (int i = 0; i < 2; i++) {
          fixture.discovery.accept().reset();
        }
        HttpPeer watch = fixture.discovery.accept();
        assertEquals(0, assertWatchRequest(42, watch));
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(43, false)));
        assertTrue(assertWatchRequest(43, watch) >= DiscoveryClient.MAX_WATCH_MILLIS / 2);
      }
    }
  }

  /** The start of a process, before and after the first response of discovery. */
  @Nested
  class Start {

    @Test
    void startWaitsForTheFirstDiscoveryResponse() throws Exception {
      CountDownLatch started = new CountDownLatch(1);
      try (fixture) {
        fixture.registryMode = "automatic";
        fixture.policy.onStart = () -> {};
        fixture.firstEndpointListTimeoutMillis = HttpPeer.TIMEOUT_MILLIS;
        Thread discoveryThread =
            new Thread(
                () -> {
                  try {
                    HttpPeer watch = fixture.discovery.accept();
                    // Only an immediate response shows whether the configured list is up to date.
                    assertEquals(0, assertWatchRequest(41, watch));
                    // A proxy that did not wait for this response would serve within this time.
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
        discoveryThread.start();
        fixture.start();
        started.countDown();
        assertEquals(EndpointUpdateType.CACHED, fixture.policy.updates.poll());
        assertEquals(EndpointUpdateType.DELTA, fixture.policy.updates.poll());
        discoveryThread.join();
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
        startProxy();
        HttpPeer fetch = fixture.discovery.accept();
        assertEquals("GET /catalog/members HTTP/1.1", fetch.read().startLine());
        fetch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(50, true)));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
      }
    }

    @Test
    void fetchClosesItsConnection() throws Exception {
      try (fixture) {
        fixture.policy.onStart = () -> fixture.policy.actions.fetchEndpoints();
        startProxy();
        HttpPeer fetch = fixture.discovery.accept();
        fetch.read();
        fetch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(50, true)));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertTrue(fetch.isClosedByPeer());
      }
    }
  }

  /** A reload of the configuration with another discovery address. */
  @Nested
  class Switch {

    @Test
    void switchRequestsTheFullListAndCancelsTheOldWatch() throws Exception {
      Path file = Files.createTempFile("node", ".json");
      try (fixture;
          ScriptedListener secondDiscovery = new ScriptedListener();
          ScriptedListener thirdDiscovery = new ScriptedListener()) {
        startProxy();
        HttpPeer oldWatch = fixture.discovery.accept();
        oldWatch.read();
        ScriptedListener[] newDiscoveries = {secondDiscovery, thirdDiscovery};
        for (ScriptedListener newDiscovery : newDiscoveries) {
          Files.writeString(
              file, fixture.config().replace(fixture.discovery.address(), newDiscovery.address()));
          fixture.server.reload(ProxyConfig.read(file.toString()));
          HttpPeer newWatch = newDiscovery.accept();
          assertEquals("GET /catalog/members HTTP/1.1", newWatch.read().startLine());
          assertTrue(oldWatch.isClosedByPeer());
          newWatch.write(
              ProxyFixture.okResponse(
                  ProxyFixture.endpointList(
                      7,
                      true,
                      ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
          // The cancelled watch was not reported as a failure.
          assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
          assertWatchRequest(7, newWatch);
          oldWatch = newWatch;
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
          ScriptedListener newDiscovery = new ScriptedListener()) {
        fixture.policy.onStart =
            () -> {
              fixture.policy.actions.watchEndpoints(true);
              fixture.policy.actions.fetchEndpoints();
            };
        startProxy();
        HttpPeer[] oldConnections = {fixture.discovery.accept(), fixture.discovery.accept()};
        oldConnections[0].read();
        oldConnections[1].read();
        Files.writeString(
            file, fixture.config().replace(fixture.discovery.address(), newDiscovery.address()));
        fixture.server.reload(ProxyConfig.read(file.toString()));
        HttpPeer newWatch = newDiscovery.accept();
        newWatch.read();
        for (HttpPeer connection : oldConnections) {
          try {
            connection.write(ProxyFixture.okResponse(ProxyFixture.endpointList(99, true)));
          } catch (IOException e) {
            // The proxy has already closed the connection of the old watch.
          }
        }
        // The fetch is repeated at the new address.
        HttpPeer newFetch = newDiscovery.accept();
        assertEquals("GET /catalog/members HTTP/1.1", newFetch.read().startLine());
        assertTrue(fixture.policy.updates.isEmpty());
        newWatch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    7,
                    true,
                    ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatchRequest(7, newWatch);
        fixture.assertStillServes();
      } finally {
        Files.delete(file);
      }
    }

    @Test
    void switchToTheSameDiscoveryOrBackLeavesOneWatch() throws Exception {
      Path originalConfig = Files.createTempFile("node", ".json");
      Path otherConfig = Files.createTempFile("node", ".json");
      try (fixture;
          ScriptedListener otherDiscovery = new ScriptedListener()) {
        startProxy();
        HttpPeer watch = fixture.discovery.accept();
        assertWatchRequest(41, watch);
        Files.writeString(originalConfig, fixture.config());
        Files.writeString(
            otherConfig,
            fixture.config().replace(fixture.discovery.address(), otherDiscovery.address()));
        fixture.server.reload(ProxyConfig.read(originalConfig.toString()));
        watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
        assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatchRequest(42, watch);
        // Of two reloads in a row, the second one takes effect.
        fixture.server.reload(ProxyConfig.read(otherConfig.toString()));
        fixture.server.reload(ProxyConfig.read(originalConfig.toString()));
        assertTrue(watch.isClosedByPeer());
        HttpPeer newWatch = fixture.discovery.accept();
        assertEquals("GET /catalog/members HTTP/1.1", newWatch.read().startLine());
        newWatch.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    3,
                    true,
                    ProxyFixture.endpointEntry(0, fixture.upstreams.get(0).address(), "up"))));
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
        assertWatchRequest(3, newWatch);
        fixture.assertStillServes();
      } finally {
        Files.delete(originalConfig);
        Files.delete(otherConfig);
      }
    }

    @Test
    void fullListIsRequestedAgainAfterTheNewDiscoveryFailed() throws Exception {
      Path file = Files.createTempFile("node", ".json");
      try (fixture;
          ScriptedListener newDiscovery = new ScriptedListener()) {
        startProxy();
        fixture.discovery.accept().read();
        Files.writeString(
            file, fixture.config().replace(fixture.discovery.address(), newDiscovery.address()));
        fixture.server.reload(ProxyConfig.read(file.toString()));
        newDiscovery.accept().reset();
        assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(fixture.policy.updates));
        fixture.policy.onRequest =
            request -> {
              fixture.policy.actions.reject(request.id(), 0);
              fixture.policy.actions.watchEndpoints(true);
            };
        fixture.connectClient().write(ProxyFixture.idempotentRequest("again", "10"));
        assertEquals("GET /catalog/members HTTP/1.1", newDiscovery.accept().read().startLine());
      } finally {
        Files.delete(file);
      }
    }
  }
}
