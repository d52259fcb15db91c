package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayInputStream;
import java.io.IOException;
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

/** The event loop is busy while events become ready in the kernel, where they wait unread. */
@Timeout(60)
class LateEventLoopTest {

  private static final int BLOCKED_MILLIS = 300;

  /** Netty accepts 16 clients in an iteration of the event loop. */
  private static final int CLIENTS_OF_THREE_BATCHES = 33;

  /** The server's clock and the system's clock differ by a millisecond at most. */
  private static final double CLOCK_TOLERANCE_MILLIS = 2;

  private interface Action {
    void run() throws Exception;
  }

  /** Runs an action on the event loop, which handles no other event until the action returns. */
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

  /** Starts a server and returns its connection to discovery, with a watch not yet responded to. */
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
            // Longer than a discovery response may stay unread before it is read ahead of requests.
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
          });
      assertEquals(
          1,
          ScriptedPolicy.takeNext(updatesAtRequest),
          "endpoint updates that the policy had handled before the request");
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void deadlineCountsTheTimeThatARequestOrItsConnectionWaitedUnread(boolean keepAlive)
      throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer keepAliveClient = connectAndCheckHealth(fixture);
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      fixture.policy.onRequest = requests::add;
      double[] writtenAt = new double[1];
      blockEventLoop(
          fixture,
          () -> {
            HttpPeer client = keepAlive ? keepAliveClient : fixture.connectClient();
            client.write(ProxyFixture.idempotentRequest("1", "10"));
            writtenAt[0] = fixture.server.now();
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
          });
      assertDeadlineCountsFrom(writtenAt[0], ScriptedPolicy.takeNext(requests));
    }
  }

  /**
   * Guards against the failure of review/3: requests of clients that waited in the backlog were
   * forwarded with time that the clients no longer had.
   */
  @Test
  void deadlineCountsTheTimeThatClientsWaitedForThoseAcceptedBefore() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      fixture.policy.onRequest = requests::add;
      double[] writtenAt = new double[1];
      blockEventLoop(
          fixture,
          () -> {
            for (int i = 0; i < CLIENTS_OF_THREE_BATCHES; i++) {
              writeRequest(fixture, i);
            }
            writtenAt[0] = fixture.server.now();
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
          });
      for (int i = 0; i < CLIENTS_OF_THREE_BATCHES; i++) {
        assertDeadlineCountsFrom(writtenAt[0], ScriptedPolicy.takeNext(requests));
      }
    }
  }

  /** Guards against the failure of review/3, see above. */
  @Test
  void deadlineCountsTheTimeThatClientsWaitedWhileAcceptingWasPaused() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture()) {
      int maxConnections = 5;
      fixture.maxDescriptors = 64 + maxConnections;
      fixture.start();
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      fixture.policy.onRequest = requests::add;
      HttpPeer busyClient = writeRequest(fixture, 0);
      ScriptedPolicy.takeNext(requests);
      for (int i = 1; i < maxConnections; i++) {
        writeRequest(fixture, i);
        ScriptedPolicy.takeNext(requests);
      }
      writeRequest(fixture, maxConnections);
      double writtenAt = fixture.server.now();
      blockEventLoop(fixture, () -> TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS));
      blockEventLoop(fixture, () -> {});
      busyClient.close();
      assertDeadlineCountsFrom(writtenAt, ScriptedPolicy.takeNext(requests));
    }
  }

  private static HttpPeer writeRequest(ProxyFixture fixture, int id) throws IOException {
    HttpPeer client = fixture.connectClient();
    client.write(ProxyFixture.idempotentRequest(Integer.toString(id), "10"));
    return client;
  }

  /** A late event loop reserves as much time for the response as it was blocked. */
  private static void assertDeadlineCountsFrom(double writtenAt, ClientRequest request) {
    double millisToDeadline = request.deadlineMillis() - writtenAt;
    assertTrue(
        millisToDeadline <= 10_000 - BLOCKED_MILLIS + CLOCK_TOLERANCE_MILLIS,
        millisToDeadline + " ms from the writing of the request to its deadline");
  }

  @Test
  void lateEventLoopReservesMoreOfTheDeadlineForTheResponse() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = connectAndCheckHealth(fixture);
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      fixture.policy.onRequest = requests::add;
      blockEventLoop(fixture, () -> TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS));
      client.write(ProxyFixture.idempotentRequest("1", "2"));
      double writtenAt = fixture.server.now();
      double reservedMillis =
          writtenAt + 2_000 - ScriptedPolicy.takeNext(requests).deadlineMillis();
      assertTrue(
          reservedMillis >= BLOCKED_MILLIS - CLOCK_TOLERANCE_MILLIS,
          reservedMillis
              + " ms reserved for the response, after a delay of "
              + BLOCKED_MILLIS
              + " ms");
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
  void lateEventLoopLeavesMostOfTheDeadline(
      String remainingSeconds, double latenessMillis, double millisLeft) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture()) {
      RequestValidator validator =
          new RequestValidator(
              ProxyConfig.parse(
                  JsonReader.read(
                      new ByteArrayInputStream(
                          fixture.config().getBytes(StandardCharsets.UTF_8)))));
      FullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/look-up/7");
      request
          .headers()
          .set("X-Txn", "1")
          .set("X-Lane", "look-up")
          .set("X-Remaining", remainingSeconds);
      assertEquals(millisLeft, validator.validate(request, 0, latenessMillis).deadlineMillis());
    }
  }

  @Test
  void latenessOfTheEventLoopIsLogged() throws Exception {
    LinkedBlockingQueue<String> latenessLines = new LinkedBlockingQueue<>();
    Handler logHandler =
        new Handler() {
          @Override
          public void publish(LogRecord logRecord) {
            if (logRecord.getMessage().startsWith("event loop late: ")) {
              latenessLines.add(logRecord.getMessage());
            }
          }

          @Override
          public void flush() {
            // Records are not buffered.
          }

          @Override
          public void close() {
            // There is nothing to close.
          }
        };
    ProxyLogger.LOGGER.addHandler(logHandler);
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      blockEventLoop(fixture, () -> TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS));
      Matcher latenessLine =
          Pattern.compile("event loop late: iterations=\\d+ p50_ms=\\d+ p99_ms=\\d+ max_ms=(\\d+)")
              .matcher(ScriptedPolicy.takeNext(latenessLines));
      assertTrue(latenessLine.matches());
      assertTrue(
          Integer.parseInt(latenessLine.group(1)) >= BLOCKED_MILLIS - CLOCK_TOLERANCE_MILLIS,
          latenessLine.group());
    } finally {
      ProxyLogger.LOGGER.removeHandler(logHandler);
    }
  }

  @Test
  void drainGracePeriodCountsTheTimeThatTheUpdateWaitedUnread() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture();
        FullBacklogListener fullListener = new FullBacklogListener()) {
      fixture.connectTimeoutMillis = 15_000;
      // Requests may be written to the draining endpoint in the first half of the grace period. The
      // update is read only after that.
      fixture.drainGraceMillis = BLOCKED_MILLIS;
      HttpPeer watch = startWatching(fixture);
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  42, true, ProxyFixture.endpointEntry(9, fullListener.address(), "up"))));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(fixture.policy.updates));
      watch.read();
      HttpPeer client = connectAndCheckHealth(fixture);
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      connectAndCheckHealth(fixture);
      HttpPeer[] lateConnection = new HttpPeer[1];
      blockEventLoop(
          fixture,
          () -> {
            watch.write(
                ProxyFixture.okResponse(
                    ProxyFixture.endpointList(
                        43,
                        false,
                        ProxyFixture.endpointEntry(9, fullListener.address(), "draining"))));
            lateConnection[0] = fullListener.acceptAfterBacklog();
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
          });
      assertTrue(lateConnection[0].isClosedByPeer(), "the request was sent after the grace period");
      assertEquals(AttemptOutcome.CONNECT_FAILED, fixture.policy.nextOutcome());
      lateConnection[0].close();
    }
  }
}
