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
  private static void blockEventLoop(ProxyFixture fixture, Action action) throws Exception {
    fixture.server.onLoop(
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
  private static HttpPeer startWatching(ProxyFixture fixture) throws Exception {
    fixture.policy.onStart = () -> fixture.policy.actions.watchEndpoints(true);
    fixture.start();
    assertEquals(EndpointUpdateType.CACHED, ScriptedPolicy.takeNext(fixture.policy.updates));
    HttpPeer watch = fixture.discovery.accept();
    watch.read();
    return watch;
  }

  private static HttpPeer connectAndCheckHealth(ProxyFixture fixture) throws Exception {
    HttpPeer client = fixture.connectClient();
    client.write("GET /_health HTTP/1.1\r\n\r\n");
    client.read();
    return client;
  }

  @Test
  void endpointUpdateIsHandledAheadOfRequestsThatArrivedBeforeIt() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(2)) {
      HttpPeer watch = startWatching(fixture);
      HttpPeer client = connectAndCheckHealth(fixture);
      LinkedBlockingQueue<Integer> updatesAtRequest = new LinkedBlockingQueue<>();
      fixture.policy.onRequest =
          request -> {
            updatesAtRequest.add(fixture.policy.updates.size());
            fixture.policy.sendTo(1, request, 0);
          };
      blockEventLoop(
          fixture,
          () -> {
            client.write(ProxyFixture.idempotentRequest("1", "10"));
            watch.write(
                ProxyFixture.okResponse(
                    ProxyFixture.endpointList(
                        42,
                        false,
                        ProxyFixture.endpointEntry(
                            0, fixture.upstreams.get(0).address(), "draining"))));
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
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer known = connectAndCheckHealth(fixture);
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      fixture.policy.onRequest = requests::add;
      double[] writtenAt = new double[1];
      blockEventLoop(
          fixture,
          () -> {
            HttpPeer client = keepAlive ? known : fixture.connectClient();
            client.write(ProxyFixture.idempotentRequest("1", "10"));
            writtenAt[0] = fixture.server.now();
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
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = connectAndCheckHealth(fixture);
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      fixture.policy.onRequest = requests::add;
      blockEventLoop(fixture, () -> TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS));
      client.write(ProxyFixture.idempotentRequest("1", "2"));
      double written = fixture.server.now();
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
    try (ProxyFixture fixture = new ProxyFixture()) {
      RequestValidator validator =
          new RequestValidator(
              ProxyConfig.parse(
                  JsonReader.read(
                      new ByteArrayInputStream(
                          fixture.config().getBytes(StandardCharsets.UTF_8)))));
      FullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/look-up/7");
      request.headers().set("X-Txn", "1").set("X-Lane", "look-up").set("X-Remaining", remaining);
      assertEquals(left, validator.validate(request, 0, lateness).deadlineMillis());
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
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      blockEventLoop(fixture, () -> TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS));
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
    try (ProxyFixture fixture = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      fixture.connectTimeoutMillis = 15_000;
      // The update stays unread for longer than the part of the grace period that sending may use.
      fixture.drainGraceMillis = BLOCKED_MILLIS;
      HttpPeer watch = startWatching(fixture);
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  42, true, ProxyFixture.endpointEntry(9, full.address(), "up"))));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
      watch.read();
      HttpPeer client = connectAndCheckHealth(fixture);
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      connectAndCheckHealth(fixture);
      HttpPeer[] late = new HttpPeer[1];
      blockEventLoop(
          fixture,
          () -> {
            watch.write(
                ProxyFixture.okResponse(
                    ProxyFixture.endpointList(
                        43, false, ProxyFixture.endpointEntry(9, full.address(), "draining"))));
            late[0] = full.acceptAfterBacklog();
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
          });
      assertTrue(late[0].isClosedByPeer(), "the request was sent after the grace period");
      assertEquals(AttemptOutcome.CONNECT_FAILED, fixture.policy.nextOutcome());
      late[0].close();
    }
  }
}
