package loadbalancer.proxy.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedPolicy;
import loadbalancer.proxy.memory.HeadMemory;
import loadbalancer.proxy.memory.MemoryBudget;
import loadbalancer.proxy.memory.MemoryBudgets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The memory of requests is reserved while they are held, and released however they end. */
@Timeout(60)
class RequestMemoryTest {

  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  private static final int UNUSED_FIELDS = 1_000;

  /** Far less than the objects of that many fields occupy. */
  private static final long MAX_BYTES_WITHOUT_UNUSED_FIELDS = 16_000;

  private static long reservedHeadBytes(ProxyFixture fixture) throws Exception {
    return fixture.server.onLoop(
        (frontend, upstreams) -> frontend.memoryBudgets().heads().reservedBytes());
  }

  private static long reservedBodyBytes(ProxyFixture fixture) throws Exception {
    return fixture.server.onLoop(
        (frontend, upstreams) -> frontend.memoryBudgets().bodies().reservedBytes());
  }

  private static long reservedBytes(ProxyFixture fixture) throws Exception {
    return reservedHeadBytes(fixture) + reservedBodyBytes(fixture);
  }

  /** Returns once the server has read all that clients sent before this call. */
  private static void awaitInputRead(ProxyFixture fixture) throws Exception {
    HttpPeer laterClient = fixture.connectClient();
    laterClient.write(HEALTH_CHECK);
    laterClient.read();
    laterClient.close();
  }

  private static void awaitNothingReserved(ProxyFixture fixture) throws Exception {
    long giveUpAtNanos = System.nanoTime() + HttpPeer.TIMEOUT_MILLIS * 1_000_000L;
    while (reservedBytes(fixture) != 0 && System.nanoTime() < giveUpAtNanos) {
      awaitInputRead(fixture);
    }
    assertEquals(0, reservedHeadBytes(fixture));
    assertEquals(0, reservedBodyBytes(fixture));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "no request at all\r\n\r\n",
        "GET /look-up/7 HTTP/1.1\r\na: b\r\nc: d\r\n",
        "GET /look-up/7 HTTP/1.1\r\na: b\r\nc: d\r\n\r\n",
        "POST /credit-spend HTTP/1.1\r\nContent-Length: 60000\r\n\r\nb",
        "POST /credit-spend HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\na: b\r\n",
        "POST /credit-spend HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\na: b\r\n\r\n",
        "GET /look-up/7 HTTP/1.0\r\nX-Txn: 1\r\nX-Lane: look-up\r\n\r\nGET /two HTTP/1.1\r\na: b\r\n"
      })
  void requestThatIsRejectedOrLeftIncompleteHoldsNothingInTheEnd(String input) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = fixture.connectClient();
      client.write(input);
      awaitInputRead(fixture);
      client.close();
      awaitNothingReserved(fixture);
    }
  }

  @Test
  void holdsMemoryOfRequestsInFlightAndPipelinedUntilTheirResponses() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = fixture.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "body"));
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      upstream.read();
      long reservedForOne = reservedHeadBytes(fixture);
      assertTrue(reservedForOne > 0);
      client.write(ProxyFixture.atMostOnceRequest("2", "body"));
      awaitInputRead(fixture);
      assertEquals(2 * reservedForOne, reservedHeadBytes(fixture));
      upstream.write(ProxyFixture.okResponse("well"));
      assertEquals("well", client.read().body());
      HttpPeer nextConnection = fixture.upstreams.get(0).accept();
      nextConnection.read();
      assertEquals(reservedForOne, reservedHeadBytes(fixture));
      nextConnection.write(ProxyFixture.okResponse("well"));
      assertEquals("well", client.read().body());
      awaitNothingReserved(fixture);
    }
  }

  @Test
  void releasesMemoryOfRequestWhoseClientDisconnects() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = fixture.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "body"));
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      upstream.read();
      client.close();
      ScriptedPolicy.takeNext(fixture.policy.disconnected);
      upstream.write(ProxyFixture.okResponse("too late"));
      awaitNothingReserved(fixture);
    }
  }

  @Test
  void rejectsRequestWithTooManyHeaderFields() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = fixture.connectClient();
      client.write(
          "GET /look-up/7 HTTP/1.1\r\n" + "a:\r\n".repeat(HeadMemory.MAX_HEADER_FIELDS + 1));
      HttpPeer.Message response = client.read();
      assertEquals(431, response.status());
      assertTrue(client.isClosedByPeer());
      awaitNothingReserved(fixture);
      fixture.assertStillServes();
    }
  }

  /** Guards against a few clients whose long heads are held and leave no memory for others. */
  @Test
  void requestInFlightKeepsOnlyHeaderFieldsThatAreUsed() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = fixture.connectClient();
      String request = ProxyFixture.atMostOnceRequest("1", "body");
      client.write(
          request.replace(
              "Content-Length", "a:\r\n".repeat(UNUSED_FIELDS) + "X-Labels: l\r\nContent-Length"));
      HttpPeer upstream = fixture.upstreams.get(0).accept();
      HttpPeer.Message forwarded = upstream.read();
      assertEquals("1", forwarded.header("X-Txn"));
      assertEquals("l", forwarded.header("X-Labels"));
      assertEquals("body", forwarded.body());
      assertTrue(reservedHeadBytes(fixture) < MAX_BYTES_WITHOUT_UNUSED_FIELDS);
      upstream.write(ProxyFixture.okResponse("well"));
      assertEquals("well", client.read().body());
      awaitNothingReserved(fixture);
    }
  }

  /** Guards against a repeated field that is not noticed since only some fields are kept. */
  @Test
  void rejectsRepeatedFieldAmongManyFields() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer client = fixture.connectClient();
      String request = ProxyFixture.atMostOnceRequest("1", "body");
      client.write(
          request.replace(
              "Content-Length", "a:\r\n".repeat(UNUSED_FIELDS) + "X-Txn: 2\r\nContent-Length"));
      HttpPeer.Message response = client.read();
      assertEquals(400, response.status());
      assertEquals("X-Txn is repeated\n", response.body());
    }
  }

  @Test
  void limitsMemoryOfHeadsAndBodiesOfPipelinedRequests() {
    MemoryBudgets budgets = new MemoryBudgets(new MemoryBudget(0), new MemoryBudget(0));
    PipelineBudget pipelineBudget = new PipelineBudget(1_600);
    CountedRequest longHead = countedRequest(budgets, 1_001, 0);
    CountedRequest longBody = countedRequest(budgets, 0, 8 * 1024 * 1024 + 1);
    for (CountedRequest request : List.of(longHead, longBody)) {
      pipelineBudget.add(request);
      assertTrue(pipelineBudget.isExceeded());
      pipelineBudget.remove(request);
      assertFalse(pipelineBudget.isExceeded());
    }
    pipelineBudget.add(countedRequest(budgets, 1_000, 8 * 1024 * 1024));
    assertFalse(pipelineBudget.isExceeded());
  }

  /** Reserves all memory for bodies that others have not reserved or can lose. */
  private static void reserveAllBodyMemory(ProxyFixture fixture) throws Exception {
    boolean reserved =
        fixture.server.onLoop(
            (frontend, upstreams) -> {
              MemoryBudget bodies = frontend.memoryBudgets().bodies();
              return bodies.tryReserve(bodies.limitBytes());
            });
    assertTrue(reserved);
  }

  private static void releaseAllBodyMemory(ProxyFixture fixture) throws Exception {
    fixture.server.onLoop(
        (frontend, upstreams) -> {
          MemoryBudget bodies = frontend.memoryBudgets().bodies();
          bodies.release(bodies.limitBytes());
          return null;
        });
  }

  @Test
  void attemptWithoutMemoryForItsResponseIsNotSent() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      reserveAllBodyMemory(fixture);
      HttpPeer client = fixture.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "10"));
      assertEquals(AttemptOutcome.NOT_SENT, fixture.policy.nextOutcome());
      assertEquals(502, client.read().status());
      releaseAllBodyMemory(fixture);
      awaitNothingReserved(fixture);
      fixture.assertStillServes();
    }
  }

  @Test
  void requestReceivedInPartGivesWayAndLaterBodyIsRejected() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture().start()) {
      HttpPeer partialClient = fixture.connectClient();
      String request = ProxyFixture.atMostOnceRequest("1", "body");
      partialClient.write(request.substring(0, request.length() - 1));
      awaitInputRead(fixture);
      reserveAllBodyMemory(fixture);
      HttpPeer laterClient = fixture.connectClient();
      laterClient.write(ProxyFixture.atMostOnceRequest("2", "body"));
      for (HttpPeer client : List.of(partialClient, laterClient)) {
        HttpPeer.Message response = client.read();
        assertEquals(503, response.status());
        assertEquals("no memory left for the request\n", response.body());
        assertTrue(client.isClosedByPeer());
      }
      releaseAllBodyMemory(fixture);
      awaitNothingReserved(fixture);
      fixture.assertStillServes();
    }
  }

  private static CountedRequest countedRequest(
      MemoryBudgets budgets, long headBytes, long bodyBytes) {
    DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    return new CountedRequest(
        head, head.headers(), Unpooled.EMPTY_BUFFER, budgets, headBytes, bodyBytes);
  }
}
