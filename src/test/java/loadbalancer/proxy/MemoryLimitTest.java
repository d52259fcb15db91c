package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process with a small heap and little direct memory, under peers that use up either. */
@Timeout(120)
class MemoryLimitTest {

  /** With the budget of bodies, three quarters, room for 96 responses or for as many bodies. */
  private static final String[] LITTLE_DIRECT_MEMORY = {
    "-XX:+UseSerialGC", "-Xmx64m", "-XX:MaxDirectMemorySize=8m"
  };

  private static final String[] SMALL_HEAP = {"-XX:+UseSerialGC", "-Xmx32m"};
  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";
  private static final int BAD_CLIENTS = 300;

  private static final int CLIENTS_WITH_LONG_BODIES = 150;

  /** A response arrives in pieces: all but its end, and then the end in four small ones. */
  private static final int SMALL_PIECES = 4;

  private static final int SMALL_PIECE_BYTES = 100;

  private static final int PIPELINING_CLIENTS = 64;

  /** As many as a client may send at once: one that is in flight and 15 that wait. */
  private static final int PIPELINED_REQUESTS = 16;

  private static String shortHeaderLines(int count) {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < count; i++) {
      lines.append((char) ('a' + i % 26)).append(":\r\n");
    }
    return lines.toString();
  }

  private static String requestWithHeaderLines(String id, int headerLines) {
    String request = ProxyFixture.idempotentRequest(id, "10");
    return request.replace("\r\n\r\n", "\r\n" + shortHeaderLines(headerLines) + "\r\n");
  }

  /** Writes as far as the proxy, which may close a connection that it has rejected, lets it. */
  private static void writeUnlessClosed(HttpPeer client, String text) {
    try {
      client.write(text);
    } catch (IOException e) {
      // The proxy has closed the connection.
    }
  }

  private static void assertErrorOrClose(HttpPeer client) throws SocketTimeoutException {
    try {
      HttpPeer.Message response = client.read();
      assertTrue(response == null || response.status() >= 400, () -> response.startLine());
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      // The proxy has closed the connection, which is allowed as well.
    }
  }

  private static void assertHealthy(ProxyProcess proxy) throws IOException {
    try (HttpPeer client = HttpPeer.connect(proxy.address)) {
      client.write(HEALTH_CHECK);
      assertEquals(200, client.read().status());
    }
  }

  private static void assertForwarded(ProxyProcess proxy, ScriptedListener upstream)
      throws Exception {
    try (HttpPeer client = HttpPeer.connect(proxy.address)) {
      client.write(ProxyFixture.idempotentRequest("later", "15"));
      HttpPeer connection = upstream.accept();
      HttpPeer.Message forwarded = connection.read();
      assertEquals("later", forwarded.header("X-Txn"));
      connection.write(ProxyFixture.okResponse("well"));
      assertEquals("well", client.read().body());
    }
  }

  /**
   * Guards against heads of many short header lines, which end the event loop with an
   * OutOfMemoryError; the process then accepted clients and never answered again.
   */
  @ParameterizedTest
  @ValueSource(ints = {3_900, 1_000})
  void clientsThatStopInLongHeadsAreRejectedAndOthersServed(int headerLines) throws Exception {
    List<HttpPeer> badClients = new ArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture();
        ProxyProcess proxy = ProxyProcess.start(fixture, SMALL_HEAP)) {
      proxy.connect().close();
      String incompleteHead = "GET /look-up/7 HTTP/1.1\r\n" + shortHeaderLines(headerLines);
      for (int i = 0; i < BAD_CLIENTS; i++) {
        HttpPeer badClient = HttpPeer.connect(proxy.address);
        badClients.add(badClient);
        writeUnlessClosed(badClient, incompleteHead);
      }
      assertHealthy(proxy);
      assertForwarded(proxy, fixture.upstreams.get(0));
      for (HttpPeer badClient : badClients) {
        assertErrorOrClose(badClient);
      }
      assertHealthy(proxy);
    } finally {
      for (HttpPeer badClient : badClients) {
        badClient.close();
      }
    }
  }

  /** Guards against complete requests of many short header lines that wait behind another one. */
  @Test
  void pipelinedRequestsWithLongHeadsDoNotUseUpTheHeap() throws Exception {
    List<HttpPeer> clients = new ArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture();
        ProxyProcess proxy = ProxyProcess.start(fixture, SMALL_HEAP)) {
      proxy.connect().close();
      for (int i = 0; i < PIPELINING_CLIENTS; i++) {
        HttpPeer client = HttpPeer.connect(proxy.address);
        clients.add(client);
        for (int n = 0; n < PIPELINED_REQUESTS; n++) {
          writeUnlessClosed(client, requestWithHeaderLines("c" + i + "-" + n, 1_000));
        }
      }
      assertHealthy(proxy);
      for (HttpPeer client : clients) {
        client.close();
      }
      assertHealthy(proxy);
      assertTrue(proxy.process.isAlive());
    }
  }

  /**
   * Guards against responses in pieces, each of which kept its receive buffer, and against bodies
   * that use up the direct memory: the event loop then slept in the allocation for half a second at
   * a time, and requests got no response.
   */
  @Test
  void longBodiesAndResponsesInPiecesLeaveNoRequestWithoutResponse() throws Exception {
    String body = "b".repeat(ProtocolHeaders.MAX_BODY_BYTES);
    List<HttpPeer> clients = new ArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture();
        ProxyProcess proxy = ProxyProcess.start(fixture, LITTLE_DIRECT_MEMORY)) {
      proxy.connect().close();
      String response = ProxyFixture.okResponse(body);
      startDaemon(() -> respondInPieces(fixture.upstreams.get(0), response, proxy));
      for (int i = 0; i < CLIENTS_WITH_LONG_BODIES; i++) {
        HttpPeer client = HttpPeer.connect(proxy.address);
        clients.add(client);
        String request = ProxyFixture.atMostOnceRequest("c" + i, body);
        startDaemon(() -> writeUnlessClosed(client, request));
      }
      assertHealthy(proxy);
      int served = 0;
      for (HttpPeer client : clients) {
        if (client.read().status() == 200) {
          served++;
        }
      }
      assertTrue(served > 0, "no request was served");
    } finally {
      for (HttpPeer client : clients) {
        client.close();
      }
    }
  }

  /** Guards against clients that send nearly all of a long body and stay, in any number. */
  @Test
  void clientsThatStopInLongBodiesGiveWayToOthers() throws Exception {
    List<HttpPeer> badClients = new ArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture();
        ProxyProcess proxy = ProxyProcess.start(fixture, LITTLE_DIRECT_MEMORY)) {
      proxy.connect().close();
      String request =
          ProxyFixture.atMostOnceRequest("1", "b".repeat(ProtocolHeaders.MAX_BODY_BYTES));
      for (int i = 0; i < BAD_CLIENTS; i++) {
        HttpPeer badClient = HttpPeer.connect(proxy.address);
        badClients.add(badClient);
        writeUnlessClosed(badClient, request.substring(0, request.length() - 1));
      }
      assertHealthy(proxy);
      assertForwarded(proxy, fixture.upstreams.get(0));
      for (HttpPeer badClient : badClients) {
        assertErrorOrClose(badClient);
      }
      assertHealthy(proxy);
    } finally {
      for (HttpPeer badClient : badClients) {
        badClient.close();
      }
    }
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** Responds to one request on each connection until the process ends. */
  private static void respondInPieces(
      ScriptedListener upstream, String response, ProxyProcess proxy) {
    try {
      while (true) {
        HttpPeer connection = upstream.accept();
        startDaemon(() -> respondInPieces(connection, response, proxy));
      }
    } catch (InterruptedException | AssertionError e) {
      // No connection has been opened for a long time.
    }
  }

  /** Writes each piece only after a health check, before which the proxy has read the last one. */
  private static void respondInPieces(HttpPeer connection, String response, ProxyProcess proxy) {
    try {
      connection.read();
      int written = response.length() - SMALL_PIECES * SMALL_PIECE_BYTES;
      connection.write(response.substring(0, written));
      for (int i = 0; i < SMALL_PIECES; i++) {
        assertHealthy(proxy);
        connection.write(response.substring(written, written + SMALL_PIECE_BYTES));
        written += SMALL_PIECE_BYTES;
      }
    } catch (IOException e) {
      // The proxy has closed the connection.
    }
  }
}
