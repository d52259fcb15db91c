package loadbalancer.proxy.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedPolicy;
import loadbalancer.proxy.memory.HeadMemory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The memory of requests is reserved while they are held, and released however they end. */
@Timeout(60)
class RequestMemoryTest {

  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

  private static long reservedHeadBytes(ProxyFixture fixture) throws Exception {
    return fixture.server.onLoop(
        (frontend, upstreams) -> frontend.memoryBudgets().heads().reservedBytes());
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
    while (reservedHeadBytes(fixture) != 0 && System.nanoTime() < giveUpAtNanos) {
      awaitInputRead(fixture);
    }
    assertEquals(0, reservedHeadBytes(fixture));
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
}
