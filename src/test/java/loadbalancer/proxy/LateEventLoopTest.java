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

/**
 * A balancer whose loop is busy while events gather in the kernel. The test keeps the loop busy
 * itself, and what comes first meanwhile is handled first.
 */
@Timeout(60)
class LateEventLoopTest {

  private static final int LATE_MS = 300;

  /** The node's clock and the system's start within a millisecond of each other. */
  private static final double CLOCKS_MS = 2;

  private interface Job {
    void run() throws Exception;
  }

  /** Does something while the loop can do nothing else. */
  private static void keepBusy(ProxyFixture stage, Job job) throws Exception {
    stage.server.onLoop(
        (frontend, upstreams) -> {
          try {
            job.run();
            return null;
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Starts a node with a watch that its discovery has yet to answer. */
  private static HttpPeer startWatching(ProxyFixture stage) throws Exception {
    stage.policy.onStart = () -> stage.policy.actions.watchEndpoints(true);
    stage.start();
    assertEquals(EndpointUpdateType.CACHED, ScriptedPolicy.takeNext(stage.policy.updates));
    HttpPeer watch = stage.discovery.accept();
    watch.read();
    return watch;
  }

  private static HttpPeer healthyCaller(ProxyFixture stage) throws Exception {
    HttpPeer caller = stage.connectClient();
    caller.write("GET /_health HTTP/1.1\r\n\r\n");
    caller.read();
    return caller;
  }

  @Test
  void newsOfDiscoveryIsTakenInAheadOfRequestsThatCameBeforeIt() throws Exception {
    try (ProxyFixture stage = new ProxyFixture(2)) {
      HttpPeer watch = startWatching(stage);
      HttpPeer caller = healthyCaller(stage);
      LinkedBlockingQueue<Integer> newsAtRequest = new LinkedBlockingQueue<>();
      stage.policy.onRequest =
          request -> {
            newsAtRequest.add(stage.policy.updates.size());
            stage.policy.sendTo(1, request, 0);
          };
      keepBusy(
          stage,
          () -> {
            caller.write(ProxyFixture.idempotentRequest("1", "10"));
            watch.write(
                ProxyFixture.okResponse(
                    ProxyFixture.endpointList(
                        42,
                        false,
                        ProxyFixture.endpointEntry(
                            0, stage.upstreams.get(0).address(), "draining"))));
            // Longer than the node lets pass between two looks at discovery.
            TimeUnit.MILLISECONDS.sleep(LATE_MS);
          });
      assertEquals(
          1, ScriptedPolicy.takeNext(newsAtRequest), "the request was decided on by the old list");
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRequestsTimeRunsWhileItOrItsConnectionWaits(boolean kept) throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer known = healthyCaller(stage);
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      stage.policy.onRequest = requests::add;
      double[] writtenAt = new double[1];
      keepBusy(
          stage,
          () -> {
            HttpPeer caller = kept ? known : stage.connectClient();
            caller.write(ProxyFixture.idempotentRequest("1", "10"));
            writtenAt[0] = stage.server.now();
            TimeUnit.MILLISECONDS.sleep(LATE_MS);
          });
      double deadline = ScriptedPolicy.takeNext(requests).deadlineMillis();
      assertTrue(
          deadline <= writtenAt[0] + 10_000 + CLOCKS_MS,
          deadline - writtenAt[0] + " ms from when it was written");
    }
  }

  @Test
  void aLoopThatIsLateKeepsMoreOfARequestsTimeToTellItsClient() throws Exception {
    try (ProxyFixture stage = new ProxyFixture().start()) {
      HttpPeer caller = healthyCaller(stage);
      LinkedBlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
      stage.policy.onRequest = requests::add;
      keepBusy(stage, () -> TimeUnit.MILLISECONDS.sleep(LATE_MS));
      caller.write(ProxyFixture.idempotentRequest("1", "2"));
      double written = stage.server.now();
      double kept = written + 2_000 - ScriptedPolicy.takeNext(requests).deadlineMillis();
      assertTrue(kept >= LATE_MS - CLOCKS_MS, kept + " ms");
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
  void howeverLateALoopIsMostOfARequestsTimeIsLeft(String remaining, double lateness, double left)
      throws Exception {
    try (ProxyFixture stage = new ProxyFixture()) {
      RequestValidator check =
          new RequestValidator(
              ProxyConfig.parse(
                  JsonReader.read(
                      new ByteArrayInputStream(stage.config().getBytes(StandardCharsets.UTF_8)))));
      FullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/look-up/7");
      request.headers().set("X-Txn", "1").set("X-Lane", "look-up").set("X-Remaining", remaining);
      assertEquals(left, check.read(request, 0, lateness).deadline());
    }
  }

  @Test
  void theLogTellsHowLateTheLoopWas() throws Exception {
    LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
    Handler log =
        new Handler() {
          @Override
          public void publish(LogRecord line) {
            if (line.getMessage().startsWith("the event loop was late")) {
              lines.add(line.getMessage());
            }
          }

          @Override
          public void flush() {
            // Nothing is held back.
          }

          @Override
          public void close() {
            // Nothing is open.
          }
        };
    ProxyLogger.LOGGER.addHandler(log);
    try (ProxyFixture stage = new ProxyFixture().start()) {
      keepBusy(stage, () -> TimeUnit.MILLISECONDS.sleep(LATE_MS));
      Matcher told =
          Pattern.compile(" and (\\d+) ms at most").matcher(ScriptedPolicy.takeNext(lines));
      assertTrue(told.find());
      assertTrue(Integer.parseInt(told.group(1)) >= LATE_MS - CLOCKS_MS, told.group());
    } finally {
      ProxyLogger.LOGGER.removeHandler(log);
    }
  }

  @Test
  void theGraceOfADrainRunsWhileItsNewsLiesUnread() throws Exception {
    try (ProxyFixture stage = new ProxyFixture();
        FullBacklogListener full = new FullBacklogListener()) {
      stage.connectTimeoutMillis = 15_000;
      // Half of it is left to what waits for its connection, and the news lies unread for longer.
      stage.drainGraceMillis = LATE_MS;
      HttpPeer watch = startWatching(stage);
      watch.write(
          ProxyFixture.okResponse(
              ProxyFixture.endpointList(
                  42, true, ProxyFixture.endpointEntry(9, full.address(), "up"))));
      assertEquals(EndpointUpdateType.FULL, ScriptedPolicy.takeNext(stage.policy.updates));
      watch.read();
      HttpPeer caller = healthyCaller(stage);
      caller.write(ProxyFixture.atMostOnceRequest("1", "x"));
      healthyCaller(stage);
      HttpPeer[] late = new HttpPeer[1];
      keepBusy(
          stage,
          () -> {
            watch.write(
                ProxyFixture.okResponse(
                    ProxyFixture.endpointList(
                        43, false, ProxyFixture.endpointEntry(9, full.address(), "draining"))));
            late[0] = full.acceptAfterBacklog();
            TimeUnit.MILLISECONDS.sleep(LATE_MS);
          });
      assertTrue(late[0].isClosedByPeer(), "the request was written after the grace");
      assertEquals(AttemptOutcome.CONNECT_FAILED, stage.policy.nextOutcome());
      late[0].close();
    }
  }
}
