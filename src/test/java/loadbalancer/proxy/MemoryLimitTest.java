package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process with a small heap and little direct memory, under peers that use up either. */
@Timeout(120)
class MemoryLimitTest {

  private static final String[] SMALL_HEAP = {"-XX:+UseSerialGC", "-Xmx32m"};
  private static final String HEALTH_CHECK = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";
  private static final int BAD_CLIENTS = 300;

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
}
