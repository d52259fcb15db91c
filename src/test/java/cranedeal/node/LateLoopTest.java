package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Request;
import cranedeal.LoadBalancer.Result;
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
class LateLoopTest {

  private static final int LATE_MS = 300;

  /** The node's clock and the system's start within a millisecond of each other. */
  private static final double CLOCKS_MS = 2;

  private interface Job {
    void run() throws Exception;
  }

  /** Does something while the loop can do nothing else. */
  private static void keepBusy(Stage stage, Job job) throws Exception {
    stage.node.onLoop(
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
  private static Peer startWatching(Stage stage) throws Exception {
    stage.script.onStart = () -> stage.script.actions.watch(true);
    stage.start();
    assertEquals(Change.CACHED, Script.next(stage.script.changes));
    Peer watch = stage.discovery.accept();
    watch.read();
    return watch;
  }

  private static Peer healthyCaller(Stage stage) throws Exception {
    Peer caller = stage.caller();
    caller.write("GET /_health HTTP/1.1\r\n\r\n");
    caller.read();
    return caller;
  }

  @Test
  void newsOfDiscoveryIsTakenInAheadOfRequestsThatCameBeforeIt() throws Exception {
    try (Stage stage = new Stage(2)) {
      Peer watch = startWatching(stage);
      Peer caller = healthyCaller(stage);
      LinkedBlockingQueue<Integer> newsAtRequest = new LinkedBlockingQueue<>();
      stage.script.onRequest =
          request -> {
            newsAtRequest.add(stage.script.changes.size());
            stage.script.sendTo(1, request, 0);
          };
      keepBusy(
          stage,
          () -> {
            caller.write(Stage.get("1", "10"));
            watch.write(
                Stage.ok(
                    Stage.roster(
                        42, false, Stage.entry(0, stage.upstreams.get(0).address(), "draining"))));
            // Longer than the node lets pass between two looks at discovery.
            TimeUnit.MILLISECONDS.sleep(LATE_MS);
          });
      assertEquals(1, Script.next(newsAtRequest), "the request was decided on by the old list");
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRequestsTimeRunsWhileItOrItsConnectionWaits(boolean kept) throws Exception {
    try (Stage stage = new Stage().start()) {
      Peer known = healthyCaller(stage);
      LinkedBlockingQueue<Request> requests = new LinkedBlockingQueue<>();
      stage.script.onRequest = requests::add;
      double[] writtenAt = new double[1];
      keepBusy(
          stage,
          () -> {
            Peer caller = kept ? known : stage.caller();
            caller.write(Stage.get("1", "10"));
            writtenAt[0] = stage.node.now();
            TimeUnit.MILLISECONDS.sleep(LATE_MS);
          });
      double deadline = Script.next(requests).deadline();
      assertTrue(
          deadline <= writtenAt[0] + 10_000 + CLOCKS_MS,
          deadline - writtenAt[0] + " ms from when it was written");
    }
  }

  @Test
  void aLoopThatIsLateKeepsMoreOfARequestsTimeToTellItsClient() throws Exception {
    try (Stage stage = new Stage().start()) {
      Peer caller = healthyCaller(stage);
      LinkedBlockingQueue<Request> requests = new LinkedBlockingQueue<>();
      stage.script.onRequest = requests::add;
      keepBusy(stage, () -> TimeUnit.MILLISECONDS.sleep(LATE_MS));
      caller.write(Stage.get("1", "2"));
      double written = stage.node.now();
      double kept = written + 2_000 - Script.next(requests).deadline();
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
    try (Stage stage = new Stage()) {
      RequestCheck check =
          new RequestCheck(
              NodeConfig.parse(
                  Json.read(
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
    try (Stage stage = new Stage().start()) {
      keepBusy(stage, () -> TimeUnit.MILLISECONDS.sleep(LATE_MS));
      Matcher told = Pattern.compile(" and (\\d+) ms at most").matcher(Script.next(lines));
      assertTrue(told.find());
      assertTrue(Integer.parseInt(told.group(1)) >= LATE_MS - CLOCKS_MS, told.group());
    } finally {
      ProxyLogger.LOGGER.removeHandler(log);
    }
  }

  @Test
  void theGraceOfADrainRunsWhileItsNewsLiesUnread() throws Exception {
    try (Stage stage = new Stage();
        Backlog full = new Backlog()) {
      stage.connectTimeout = 15_000;
      // Half of it is left to what waits for its connection, and the news lies unread for longer.
      stage.drainGrace = LATE_MS;
      Peer watch = startWatching(stage);
      watch.write(Stage.ok(Stage.roster(42, true, Stage.entry(9, full.address(), "up"))));
      assertEquals(Change.FULL, Script.next(stage.script.changes));
      watch.read();
      Peer caller = healthyCaller(stage);
      caller.write(Stage.spend("1", "x"));
      healthyCaller(stage);
      Peer[] late = new Peer[1];
      keepBusy(
          stage,
          () -> {
            watch.write(
                Stage.ok(Stage.roster(43, false, Stage.entry(9, full.address(), "draining"))));
            late[0] = full.acceptLast();
            TimeUnit.MILLISECONDS.sleep(LATE_MS);
          });
      assertTrue(late[0].ended(), "the request was written after the grace");
      assertEquals(Result.CONNECT_FAILED, stage.script.result());
      late[0].close();
    }
  }
}
