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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The list and the watch, and what becomes of answers that are of no use. */
@Timeout(60)
class DiscoveryClientTest {

  private static final Pattern WATCH =
      Pattern.compile("GET /catalog/members\\?index=(?<version>\\d+)&wait=(?<wait>\\d+) HTTP/1.1");

  /** Far longer than any call may take, and shorter than a test waits. */
  private static final long TIME_UP_MS = 15_000;

  private final ProxyFixture stage = new ProxyFixture();

  DiscoveryClientTest() throws IOException {
    stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
  }

  private void started() throws Exception {
    stage.start();
    assertEquals(EndpointUpdateType.CACHED, ScriptedPolicy.takeNext(stage.policy.updates));
  }

  /** Reads a watch's call, which goes on from the given version; how long it is to wait, in ms. */
  private static int assertWatches(long version, HttpPeer watch) throws IOException {
    Matcher call = WATCH.matcher(watch.read().startLine());
    assertTrue(call.matches());
    assertEquals(version, Long.parseLong(call.group("version")));
    return Integer.parseInt(call.group("wait"));
  }

  @Test
  void aWatchGoesOnFromWhatItWasTold() throws Exception {
    try (stage) {
      started();
      HttpPeer watch = stage.discovery.accept();
      assertWatches(41, watch);
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  45, false, ProxyFixture.endpointEntry(0, "127.0.0.1:1", "draining"))));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      assertWatches(45, watch);
      watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(46, false)));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      assertWatches(46, watch);
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  47, false, "{\"id\":\"s-00000000\",\"state\":\"removed\"}")));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      assertWatches(47, watch);
    }
  }

  @Test
  void newsComesToAModuleThatNeedNotAskForIt() throws Exception {
    try (stage) {
      stage.registryMode = "automatic";
      stage.start(LatencyWeightedPolicy::new);
      HttpPeer watch = stage.discovery.accept();
      assertWatches(41, watch);
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  42,
                  false,
                  ProxyFixture.endpointEntry(0, stage.upstreams.get(0).address(), "draining"))));
      // It has been taken in once the next call is out, and is asked for again after a failure.
      assertWatches(42, watch);
      watch.reset();
      assertWatches(42, stage.discovery.accept());
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("drained", "0.5"));
      assertEquals(503, caller.read().status());
      assertEquals(0, stage.upstreams.get(0).pendingConnections());
    }
  }

  @Test
  void aSilentWatchIsBegunAnewOnceTheServersItNamedTakeNothing() throws Exception {
    try (ProxyFixture two = new ProxyFixture(2)) {
      two.upstreams.get(0).close();
      two.knownEndpoints = 1;
      two.pollIntervalMillis = 0;
      two.maxAttempts = 3;
      two.start(LatencyWeightedPolicy::new);
      HttpPeer silent = two.discovery.accept();
      assertWatches(41, silent);
      HttpPeer caller = two.connectClient();
      caller.write(ProxyFixture.idempotentRequest("d1", "5"));
      assertEquals(503, caller.read().status());
      // Nobody waits for the old one any more, and what it missed is asked for.
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
      caller.write(ProxyFixture.idempotentRequest("d2", "5"));
      HttpPeer upstream = two.upstreams.get(1).accept();
      upstream.read();
      upstream.write(ProxyFixture.okResponse("served"));
      assertEquals(200, caller.read().status());
    }
  }

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
  void anAnswerOfNoUseIsAFailureAndTheOldListHolds(String answer) throws Exception {
    try (stage) {
      started();
      HttpPeer watch = stage.discovery.accept();
      watch.read();
      watch.write(answer);
      watch.close();
      assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(stage.policy.updates));
      stage.assertStillServes();
      // One failure for one call, and the module can ask again from where it was.
      assertTrue(stage.policy.updates.isEmpty());
      stage.policy.onRequest =
          request -> {
            stage.policy.actions.reject(request.id(), 0);
            stage.policy.actions.watchEndpoints(true);
          };
      stage.connectClient().write(ProxyFixture.idempotentRequest("again", "10"));
      assertWatches(41, stage.discovery.accept());
    }
  }

  @Test
  void aListThatBreaksOffLeavesAllSixtyUpstreamsInUse() throws Exception {
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
                          i -> ProxyFixture.endpointEntry(i, many.upstreams.get(i).address(), "up"))
                      .toArray(String[]::new)));
      watch.write(fewer.substring(0, fewer.length() / 2));
      watch.close();
      assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(many.policy.updates));
      HttpPeer caller = many.connectClient();
      for (int i = 0; i < 60; i++) {
        int place = i;
        many.policy.onRequest = request -> many.policy.sendTo(place, request, 0);
        caller.write(ProxyFixture.idempotentRequest("still" + i, "10"));
        HttpPeer upstream = many.upstreams.get(i).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("well"));
        assertEquals(200, caller.read().status());
      }
      assertTrue(many.policy.updates.isEmpty());
    }
  }

  @Test
  void anIndentedListIsReadLikeAnyOther() throws Exception {
    try (stage) {
      started();
      HttpPeer watch = stage.discovery.accept();
      watch.read();
      String plain =
          ProxyFixture.endpointList(
              45, true, ProxyFixture.endpointEntry(0, stage.upstreams.get(0).address(), "up"));
      watch.write(
          ProxyFixture.okResponse(
              new JsonMapper()
                  .writerWithDefaultPrettyPrinter()
                  .writeValueAsString(new JsonMapper().readTree(plain))
                  .replace("\n", "\r\n\t")));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
      assertWatches(45, watch);
      stage.assertStillServes();
    }
  }

  @Test
  void aListWithoutEndIsAFailureAndTheOldOneHolds() throws Exception {
    try (stage) {
      started();
      HttpPeer watch = stage.discovery.accept();
      watch.read();
      watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      String chunk = "10000\r\n" + " ".repeat(0x10000) + "\r\n";
      try {
        while (true) {
          watch.write(chunk);
        }
      } catch (IOException e) {
        // It is not listened to any more.
      }
      assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(stage.policy.updates));
      stage.assertStillServes();
      assertTrue(stage.policy.updates.isEmpty());
    }
  }

  @Test
  void aDiscoveryThatIsDownIsAFailure() throws Exception {
    try (stage) {
      stage.discovery.close();
      started();
      assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(stage.policy.updates));
    }
  }

  @Test
  void theModuleAsksAgainAfterAFailure() throws Exception {
    try (stage) {
      stage.start(loadbalancer.policy.LatencyWeightedPolicy::new);
      stage.discovery.accept().reset();
      assertWatches(41, stage.discovery.accept());
    }
  }

  /**
   * A discovery's caller on its own, which tells what it is told, by {@code LATE} that time is up
   * and by {@code ROOM} that it wants descriptors freed.
   */
  private static final class Lone implements AutoCloseable {

    private static final String LATE = "LATE";
    private static final String ROOM = "ROOM";

    private final EventLoop loop =
        (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
    private final DiscoveryClient discovery;

    /** Where its sockets come from; changed on the loop only, once the client is in use. */
    private ChannelFactory<Channel> channelFactory = NioSocketChannel::new;

    /** Its watches wait for at most so long, in ms. */
    Lone(ProxyFixture stage, String address, int watchMillis) throws Exception {
      Path file = Files.createTempFile("node", ".json");
      try {
        Files.writeString(file, stage.config().replace(stage.discovery.address(), address));
        discovery =
            new DiscoveryClient(
                ProxyConfig.read(file.toString()).discoverySettings(),
                new DiscoveryTransport(
                    loop,
                    ByteBufAllocator.DEFAULT,
                    () -> channelFactory.newChannel(),
                    () -> told.add(ROOM)),
                (type, update) -> told.add(type.name()),
                watchMillis);
      } finally {
        Files.delete(file);
      }
    }

    /** Watches, with so many ms to do so: the loop rings in the order of time, however late. */
    void watch(long time) {
      loop.execute(
          () -> {
            discovery.watch(true);
            loop.schedule(() -> told.add(LATE), time, TimeUnit.MILLISECONDS);
          });
    }

    @Override
    public void close() {
      loop.parent().shutdownGracefully();
    }
  }

  @Test
  void aSilentDiscoveryIsAFailureOnceItsWaitIsOver() throws Exception {
    try (stage;
        Lone lone = new Lone(stage, stage.discovery.address(), 100)) {
      lone.watch(TIME_UP_MS);
      HttpPeer watch = stage.discovery.accept();
      int wait = assertWatches(41, watch);
      assertTrue(wait >= 50 && wait <= 100);
      assertTrue(watch.isClosedByPeer());
      assertEquals("FAILED", ScriptedPolicy.takeNext(lone.told));
    }
  }

  @Test
  void aCallAfterAFailureIsWaitedForWhereDiscoveryIsSlow() throws Exception {
    try (stage;
        Lone lone = new Lone(stage, stage.discovery.address(), 20_000)) {
      lone.watch(TIME_UP_MS);
      HttpPeer refused = stage.discovery.accept();
      refused.read();
      refused.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      assertEquals("FAILED", ScriptedPolicy.takeNext(lone.told));
      lone.watch(1_500);
      HttpPeer slow = stage.discovery.accept();
      slow.read();
      // Many others are served first; to give up now and ask again would only add to them.
      assertEquals(Lone.LATE, ScriptedPolicy.takeNext(lone.told));
      String entry = ProxyFixture.endpointEntry(0, stage.upstreams.get(0).address(), "up");
      slow.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, true, entry)));
      assertEquals("FULL", ScriptedPolicy.takeNext(lone.told));
    }
  }

  @Test
  void aConnectionToDiscoveryThatNeverComesUpIsAFailureAfterASecond() throws Exception {
    try (stage;
        FullBacklogListener full = new FullBacklogListener();
        Lone lone = new Lone(stage, full.address(), DiscoveryClient.MAX_WATCH_MILLIS)) {
      lone.watch(TIME_UP_MS);
      assertEquals("FAILED", ScriptedPolicy.takeNext(lone.told));
    }
  }

  @Test
  void aCallThatFindsNoDescriptorFailsMakesRoomAndCanBeMadeAgain() throws Exception {
    try (stage;
        Lone lone = new Lone(stage, stage.discovery.address(), DiscoveryClient.MAX_WATCH_MILLIS)) {
      lone.channelFactory =
          () -> {
            throw new ChannelException("made by a test");
          };
      for (int i = 0; i < 2; i++) {
        lone.watch(TIME_UP_MS);
        assertEquals(Lone.ROOM, ScriptedPolicy.takeNext(lone.told));
        assertEquals("FAILED", ScriptedPolicy.takeNext(lone.told));
      }
      lone.loop.execute(() -> lone.channelFactory = NioSocketChannel::new);
      lone.watch(TIME_UP_MS);
      HttpPeer watch = stage.discovery.accept();
      assertWatches(41, watch);
      watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
      assertEquals("DELTA", ScriptedPolicy.takeNext(lone.told));
    }
  }

  @Test
  void anAnswerThatDribblesInWithoutEndIsAFailureOnceItsTimeIsOver() throws Exception {
    try (stage;
        Lone lone = new Lone(stage, stage.discovery.address(), 100)) {
      lone.watch(TIME_UP_MS);
      HttpPeer watch = stage.discovery.accept();
      assertWatches(41, watch);
      watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      try {
        while (lone.told.isEmpty()) {
          watch.write("1\r\n \r\n");
          TimeUnit.MILLISECONDS.sleep(1);
        }
      } catch (IOException e) {
        // It is not listened to any more.
      }
      assertEquals("FAILED", ScriptedPolicy.takeNext(lone.told));
    }
  }

  @Test
  void aCallAfterAFailureIsGivenUpAfterASecondWithNoAnswer() throws Exception {
    try (stage;
        Lone lone = new Lone(stage, stage.discovery.address(), DiscoveryClient.MAX_WATCH_MILLIS)) {
      lone.watch(TIME_UP_MS);
      stage.discovery.accept().reset();
      assertEquals("FAILED", ScriptedPolicy.takeNext(lone.told));
      lone.watch(TIME_UP_MS);
      HttpPeer silent = stage.discovery.accept();
      // Were it to wait, it would show only after that that nobody answers.
      assertEquals(0, assertWatches(41, silent));
      assertEquals("FAILED", ScriptedPolicy.takeNext(lone.told));
      lone.watch(TIME_UP_MS);
      HttpPeer watch = stage.discovery.accept();
      assertEquals(0, assertWatches(41, watch));
      watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
      // Once there has been an answer, watches wait again.
      assertTrue(assertWatches(42, watch) > 0);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"automatic", "subscribe"})
  void whatDiscoveryHadWhileCallsToItFailedIsAskedForWithoutAWait(String mode) throws Exception {
    try (stage) {
      stage.registryMode = mode;
      stage.firstUpdateTimeoutMillis = 1;
      stage.start(LatencyWeightedPolicy::new);
      HttpPeer first = stage.discovery.accept();
      assertWatches(41, first);
      first.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
      assertWatches(42, first);
      first.reset();
      for (int i = 0; i < 2; i++) {
        stage.discovery.accept().reset();
      }
      HttpPeer watch = stage.discovery.accept();
      assertEquals(0, assertWatches(42, watch));
      watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(43, false)));
      assertTrue(assertWatches(43, watch) >= DiscoveryClient.MAX_WATCH_MILLIS / 2);
    }
  }

  @Test
  void aListThatIsNotTakenInIsAskedForWholeOnceTheModuleAsks() throws Exception {
    try (stage) {
      started();
      stage.policy.onUpdate =
          change -> {
            if (change == EndpointUpdateType.DELTA) {
              throw new IllegalStateException("made by a test");
            }
          };
      HttpPeer watch = stage.discovery.accept();
      assertWatches(41, watch);
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  45, false, ProxyFixture.endpointEntry(0, "127.0.0.1:1", "draining"))));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(stage.policy.updates));
      stage.policy.onRequest =
          request -> {
            stage.policy.actions.reject(request.id(), 0);
            stage.policy.actions.watchEndpoints(true);
          };
      HttpPeer caller = stage.connectClient();
      caller.write(ProxyFixture.idempotentRequest("again", "10"));
      caller.read();
      // The first call since then, on the connection that is as well as before, and the only one.
      assertEquals("GET /catalog/members HTTP/1.1", watch.read().startLine());
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  45,
                  true,
                  ProxyFixture.endpointEntry(0, stage.upstreams.get(0).address(), "up"))));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
      assertWatches(45, watch);
      assertEquals(0, stage.discovery.pendingConnections());
      stage.policy.onRequest = request -> stage.policy.sendTo(0, request, 0);
      stage.assertStillServes();
    }
  }

  @Test
  void aWatchGoesOnOverANewConnectionWhereItsAnswerEndsTheOldOne() throws Exception {
    try (stage) {
      started();
      HttpPeer watch = stage.discovery.accept();
      assertWatches(41, watch);
      watch.write(
          ProxyFixture.okResponse(ProxyFixture.endpointList(42, false))
              .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      assertTrue(watch.isClosedByPeer());
      assertWatches(42, stage.discovery.accept());
      assertTrue(stage.policy.updates.isEmpty());
    }
  }

  @Test
  void aWholeListOfALowerVersionIsTakenInAndGoneOnFrom() throws Exception {
    try (stage) {
      started();
      HttpPeer watch = stage.discovery.accept();
      assertWatches(41, watch);
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  7, true, ProxyFixture.endpointEntry(0, stage.upstreams.get(0).address(), "up"))));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
      assertWatches(7, watch);
    }
  }

  @Test
  void newsThatASilentWatchMissedIsKnownBeforeItCountsAsTold() throws Exception {
    try (stage) {
      stage.registryMode = "automatic";
      stage.start(LatencyWeightedPolicy::new);
      HttpPeer silent = stage.discovery.accept();
      assertEquals(0, assertWatches(41, silent));
      silent.write(ProxyFixture.okResponse(ProxyFixture.endpointList(41, false)));
      // It counts as told 6 s after it was there to tell: the call that missed it has to be over.
      int wait = assertWatches(41, silent);
      assertTrue(wait > 0 && wait <= 2_000);
      HttpPeer watch = stage.discovery.accept();
      assertTrue(silent.isClosedByPeer());
      assertWatches(41, watch);
    }
  }

  @Test
  void aNewProcessDoesNotServeFromItsKnownListBeforeDiscoveryHasAnswered() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    try (stage) {
      stage.registryMode = "automatic";
      stage.policy.onStart = () -> {};
      stage.firstUpdateTimeoutMillis = HttpPeer.TIMEOUT_MILLIS;
      Thread agent =
          new Thread(
              () -> {
                try {
                  HttpPeer watch = stage.discovery.accept();
                  // Nothing may be newer than the list, which only an answer at once can tell.
                  assertEquals(0, assertWatches(41, watch));
                  // A node that does not wait for this has begun to serve by now.
                  started.await(300, TimeUnit.MILLISECONDS);
                  watch.write(
                      ProxyFixture.okResponse(
                          ProxyFixture.endpointList(
                              42,
                              false,
                              ProxyFixture.endpointEntry(
                                  0, stage.upstreams.get(0).address(), "draining"))));
                } catch (IOException | InterruptedException e) {
                  throw new AssertionError(e);
                }
              });
      agent.start();
      stage.start();
      started.countDown();
      assertEquals(EndpointUpdateType.CACHED, stage.policy.updates.poll());
      assertEquals(EndpointUpdateType.DELTA, stage.policy.updates.poll());
      agent.join();
    }
  }

  @Test
  void aNewProcessServesFromItsKnownListWhileDiscoveryIsSilent() throws Exception {
    try (stage) {
      stage.registryMode = "automatic";
      stage.policy.onStart = () -> {};
      stage.firstUpdateTimeoutMillis = 1;
      stage.start();
      stage.discovery.accept().read();
      stage.assertStillServes();
    }
  }

  @Test
  void copiesThatStartTogetherDoNotWatchInStep() throws Exception {
    List<Integer> first = new ArrayList<>();
    List<Integer> second = new ArrayList<>();
    for (List<Integer> waits : List.of(first, second)) {
      try (ProxyFixture copy = new ProxyFixture()) {
        copy.seed = waits == first ? "1" : "2";
        copy.registryMode = "automatic";
        copy.start(LatencyWeightedPolicy::new);
        HttpPeer watch = copy.discovery.accept();
        // The first is answered at once and waits in neither.
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
  void theWholeListIsAskedForOnItsOwn() throws Exception {
    try (stage) {
      stage.policy.onStart = () -> stage.policy.actions.fetchEndpoints();
      started();
      HttpPeer call = stage.discovery.accept();
      assertEquals("GET /catalog/members HTTP/1.1", call.read().startLine());
      call.write(ProxyFixture.okResponse(ProxyFixture.endpointList(50, true)));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
    }
  }

  @Test
  void aCallForTheWholeListLeavesNoConnectionBehind() throws Exception {
    try (stage) {
      stage.policy.onStart = () -> stage.policy.actions.fetchEndpoints();
      started();
      HttpPeer call = stage.discovery.accept();
      call.read();
      call.write(ProxyFixture.okResponse(ProxyFixture.endpointList(50, true)));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
      assertTrue(call.isClosedByPeer());
    }
  }

  @Test
  void anotherDiscoveryIsAskedForItsWholeListAndTheOldOneLeftQuietly() throws Exception {
    Path file = Files.createTempFile("node", ".json");
    try (stage;
        ScriptedListener second = new ScriptedListener();
        ScriptedListener third = new ScriptedListener()) {
      started();
      HttpPeer old = stage.discovery.accept();
      old.read();
      ScriptedListener[] moves = {second, third};
      for (ScriptedListener move : moves) {
        Files.writeString(file, stage.config().replace(stage.discovery.address(), move.address()));
        stage.server.reload(ProxyConfig.read(file.toString()));
        HttpPeer fresh = move.accept();
        assertEquals("GET /catalog/members HTTP/1.1", fresh.read().startLine());
        assertTrue(old.isClosedByPeer());
        fresh.write(
            ProxyFixture.okResponse(
                ProxyFixture.endpointList(
                    7,
                    true,
                    ProxyFixture.endpointEntry(0, stage.upstreams.get(0).address(), "up"))));
        // No failure came before it.
        assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
        assertWatches(7, fresh);
        old = fresh;
      }
      stage.assertStillServes();
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void anAnswerOfTheOldDiscoveryAfterTheMoveIsOfNoUse() throws Exception {
    Path file = Files.createTempFile("node", ".json");
    try (stage;
        ScriptedListener second = new ScriptedListener()) {
      stage.policy.onStart =
          () -> {
            stage.policy.actions.watchEndpoints(true);
            stage.policy.actions.fetchEndpoints();
          };
      started();
      HttpPeer[] old = {stage.discovery.accept(), stage.discovery.accept()};
      old[0].read();
      old[1].read();
      Files.writeString(file, stage.config().replace(stage.discovery.address(), second.address()));
      stage.server.reload(ProxyConfig.read(file.toString()));
      HttpPeer watch = second.accept();
      watch.read();
      for (HttpPeer call : old) {
        try {
          call.write(ProxyFixture.okResponse(ProxyFixture.endpointList(99, true)));
        } catch (IOException e) {
          // The watch's own connection is closed already.
        }
      }
      // What was asked for is asked for again, where discovery is now.
      HttpPeer fetch = second.accept();
      assertEquals("GET /catalog/members HTTP/1.1", fetch.read().startLine());
      assertTrue(stage.policy.updates.isEmpty());
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  7, true, ProxyFixture.endpointEntry(0, stage.upstreams.get(0).address(), "up"))));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
      assertWatches(7, watch);
      stage.assertStillServes();
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void theSameDiscoveryAgainOrBackAndForthLeavesOneWatch() throws Exception {
    Path first = Files.createTempFile("node", ".json");
    Path other = Files.createTempFile("node", ".json");
    try (stage;
        ScriptedListener second = new ScriptedListener()) {
      started();
      HttpPeer watch = stage.discovery.accept();
      assertWatches(41, watch);
      Files.writeString(first, stage.config());
      Files.writeString(other, stage.config().replace(stage.discovery.address(), second.address()));
      stage.server.reload(ProxyConfig.read(first.toString()));
      watch.write(ProxyFixture.okResponse(ProxyFixture.endpointList(42, false)));
      assertEquals(EndpointUpdateType.DELTA, ScriptedPolicy.takeNext(stage.policy.updates));
      assertWatches(42, watch);
      // Two in a row: the later one counts, whatever the earlier one has begun.
      stage.server.reload(ProxyConfig.read(other.toString()));
      stage.server.reload(ProxyConfig.read(first.toString()));
      assertTrue(watch.isClosedByPeer());
      HttpPeer back = stage.discovery.accept();
      assertEquals("GET /catalog/members HTTP/1.1", back.read().startLine());
      back.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  3, true, ProxyFixture.endpointEntry(0, stage.upstreams.get(0).address(), "up"))));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
      assertWatches(3, back);
      stage.assertStillServes();
    } finally {
      Files.delete(first);
      Files.delete(other);
    }
  }

  @Test
  void aNewDiscoveryThatFailsIsStillAskedForItsWholeList() throws Exception {
    Path file = Files.createTempFile("node", ".json");
    try (stage;
        ScriptedListener second = new ScriptedListener()) {
      started();
      stage.discovery.accept().read();
      Files.writeString(file, stage.config().replace(stage.discovery.address(), second.address()));
      stage.server.reload(ProxyConfig.read(file.toString()));
      second.accept().reset();
      assertEquals(EndpointUpdateType.FAILED, ScriptedPolicy.takeNext(stage.policy.updates));
      stage.policy.onRequest =
          request -> {
            stage.policy.actions.reject(request.id(), 0);
            stage.policy.actions.watchEndpoints(true);
          };
      stage.connectClient().write(ProxyFixture.idempotentRequest("again", "10"));
      assertEquals("GET /catalog/members HTTP/1.1", second.accept().read().startLine());
    } finally {
      Files.delete(file);
    }
  }
}
