package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.frontend.RequestValidator;
import loadbalancer.proxy.json.JsonReader;
import loadbalancer.proxy.logging.ProxyLogger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An event loop that is busy while events become ready in the kernel, in the order of arrival. */
@Timeout(60)
class LateEventLoopTest {

  private static final int BLOCKED_MILLIS = 300;

  /** The clocks of the server and of the system differ by a millisecond at most. */
  private static final double CLOCK_TOLERANCE_MILLIS = 2;

  private interface Action {
    void run() throws Exception;
  }

  /** Runs an action on the event loop, which handles no event meanwhile. */
  private static void blockEventLoop(ProxyFixture stage, Action action) throws Exception {
    stage.server.onLoop(
        (frontend, upstreams) -> {
          try {
            action.run();
            return null;
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Starts a server whose discovery watch has no response yet. */
  private static HttpPeer startWatching(ProxyFixture stage) throws Exception {
    stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
    stage.start();
    assertEquals(EndpointUpdateType.CACHED, ScriptedPolicy.takeNext(stage.policy.updates));
    HttpPeer watch = stage.discovery.accept();
    watch.read();
    return watch;
  }

  private static HttpPeer connectAndCheckHealth(ProxyFixture stage) throws Exception {
    HttpPeer client = stage.connectClient();
    client.write("GET /_health HTTP/1.1\r\n\r\n");
    client.read();
    return client;
  }

  @Test
  void endpointUpdateIsHandledAheadOfRequestsThatArrivedBeforeIt() throws Exception {
    try (ProxyFixture stage = new ProxyFixture(2)) {
      HttpPeer watch = startWatching(stage);
      HttpPeer client = connectAndCheckHealth(stage);
      LinkedBlockingQueue<Integer> updatesAtRequest = new LinkedBlockingQueue<>();
      stage.policy.onRequest =
          request -> {
            updatesAtRequest.add(stage.policy.updates.size());
            stage.policy.sendTo(1, request, 0);
          };
      blockEventLoop(
          stage,
          () -> {
            client.write(ProxyFixture.idempotentRequest("1", "10"));
            watch.write(
                ProxyFixture.okResponse(
                    ProxyFixture.endpointList(
                        42,
                        false,
                        ProxyFixture.endpointEntry(
                            0, stage.upstreams.get(0).address(), "draining"))));
            // Longer than a discovery response may stay unread.
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
          });
      assertEquals(
          1,
          ScriptedPolicy.takeNext(updatesAtRequest),
          "the request was balanced over the outdated list");
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void deadlineCountsTheTimeThatARequestOrItsConnectionWaitedUnread(boolean keepAlive)
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer known = connectAndCheckHealth(stage);
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      stage.policy.onRequest = requests::add;
      double[] writtenAt = new double[1];
      blockEventLoop(
          stage,
          () -> {
            HttpPeer client = keepAlive ? known : stage.connectClient();
            client.write(ProxyFixture.idempotentRequest("1", "10"));
            writtenAt[0] = stage.server.now();
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
          });
      double deadline = ScriptedPolicy.takeNext(requests).deadlineMillis();
      assertTrue(
          deadline <= writtenAt[0] + 10_000 + CLOCK_TOLERANCE_MILLIS,
          deadline - writtenAt[0] + " ms from when it was written");
    }
  }

  @Test
  void lateEventLoopReservesMoreOfTheDeadlineForTheResponse() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer client = connectAndCheckHealth(stage);
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      stage.policy.onRequest = requests::add;
      blockEventLoop(stage, () -> TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS));
      client.write(ProxyFixture.idempotentRequest("1", "2"));
      double written = stage.server.now();
      double reservedMillis = written + 2_000 - ScriptedPolicy.takeNext(requests).deadlineMillis();
      assertTrue(reservedMillis >= BLOCKED_MILLIS - CLOCK_TOLERANCE_MILLIS, reservedMillis + " ms");
    }
  }

  @ParameterizedTest
  @CsvSource({
    "1, 0, 960",
    "1, 40, 960",
    "2, 300, 1700",
    "0.4, 300, 300",
    "0.2, 10, 180",
    "0.2, 30, 170"
  })
  void lateEventLoopLeavesMostOfTheDeadline(String remaining, double lateness, double left)
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      RequestValidator validator =
          new RequestValidator(
              ProxyConfig.parse(
                  JsonReader.read(
                      new ByteArrayInputStream(stage.config().getBytes(StandardCharsets.UTF_8)))));
      FullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/look-up/7");
      request.headers().set("X-Txn", "1").set("X-Lane", "look-up").set("X-Remaining", remaining);
      assertEquals(left, validator.read(request, 0, lateness).deadline());
    }
  }

  @Test
  void latenessOfTheEventLoopIsLogged() throws Exception {
    LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
    Handler log =
        new Handler() {
          @Override
          public void publish(LogRecord line) {
            if (line.getMessage().startsWith("event loop late: ")) {
              lines.add(line.getMessage());
            }
          }

          @Override
          public void flush() {
            // Nothing is buffered.
          }

          @Override
          public void close() {
            // Nothing is open.
          }
        };
    ProxyLogger.LOGGER.addHandler(log);
    try (ProxyFixture stage = new ProxyFixture().start()) {
      blockEventLoop(stage, () -> TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS));
      Matcher line =
          Pattern.compile("event loop late: iterations=\\d+ p50_ms=\\d+ p99_ms=\\d+ max_ms=(\\d+)")
              .matcher(ScriptedPolicy.takeNext(lines));
      assertTrue(line.matches());
      assertTrue(
          Integer.parseInt(line.group(1)) >= BLOCKED_MILLIS - CLOCK_TOLERANCE_MILLIS, line.group());
    } finally {
      ProxyLogger.LOGGER.removeHandler(log);
    }
  }

  @Test
  void drainGracePeriodCountsTheTimeThatTheUpdateWaitedUnread() throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      stage.connectTimeoutMillis = 15_000;
      // The update stays unread for longer than the part of the grace period that sending may use.
      stage.drainGraceMillis = BLOCKED_MILLIS;
      HttpPeer watch = startWatching(stage);
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  42, true, ProxyFixture.endpointEntry(9, full.address(), "up"))));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
      watch.read();
      HttpPeer client = connectAndCheckHealth(stage);
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      connectAndCheckHealth(stage);
      HttpPeer[] late = new HttpPeer[1];
      blockEventLoop(
          stage,
          () -> {
            watch.write(
                ProxyFixture.okResponse(
                    ProxyFixture.endpointList(
                        43, false, ProxyFixture.endpointEntry(9, full.address(), "draining"))));
            late[0] = full.acceptAfterBacklog();
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
          });
      assertTrue(late[0].isClosedByPeer(), "the request was sent after the grace period");
      assertEquals(AttemptOutcome.CONNECT_FAILED, stage.policy.nextOutcome());
      late[0].close();
    }
  }
}
