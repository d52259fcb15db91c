package loadbalancer.proxy.upstream;

import static loadbalancer.proxy.upstream.UpstreamTestSupport.awaitInputRead;
import static loadbalancer.proxy.upstream.UpstreamTestSupport.useOptions;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedListener;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that invalid, incomplete and duplicate responses are detected. */
@Timeout(60)
class UpstreamResponseTest {

  private static final String[] CONNECTION_ENDS = {"FIN", "FIN RST", "RST"};

  /**
   * Responds to a request (a bar is a CR LF) and ends the connection; returns the outcome and the
   * client's response. Whole pieces are read one by one; the rest is read together with the end.
   */
  private static String respond(ProxyFixture proxy, String response, int pieceBytes, String end)
      throws Exception {
    try (HttpPeer client = HttpPeer.connect(proxy.server.address())) {
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.read();
      String sent = response.replace("|", "\r\n");
      int read = 0;
      while (read + pieceBytes <= sent.length() && proxy.policy.results.isEmpty()) {
        upstream.write(sent.substring(read, read + pieceBytes));
        read += pieceBytes;
        awaitInputRead(proxy);
      }
      String rest = proxy.policy.results.isEmpty() ? sent.substring(read) : "";
      // While the loop is held, the proxy reads nothing.
      proxy.server.onLoop(
          (frontend, upstreams) -> assertDoesNotThrow(() -> end(upstream, rest, end)));
      HttpPeer.Message answer = client.read();
      assertTrue(!end.equals("FIN") || upstream.socket.getInputStream().read() < 0);
      return proxy.policy.nextOutcome() + " " + answer.status() + " " + answer.body();
    }
  }

  private static boolean end(HttpPeer upstream, String rest, String end) throws IOException {
    upstream.write(rest);
    if (end.contains("FIN")) {
      upstream.socket.shutdownOutput();
    }
    if (end.contains("RST")) {
      upstream.reset();
    }
    return true;
  }

  /** Guards against whole responses that are taken for lost ones, and the other way round. */
  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 200 OK,OK 200 body",
    "HTTP/1.1 200 OK|Connection: close,OK 200 body",
    "HTTP/1.1 200 OK|Connection: keep-alive,OK 200 body",
    "HTTP/1.0 200 OK|X: y,OK 200 body",
    "HTTP/1.1 100 Continue||HTTP/1.1 200 OK,OK 200 body",
    "HTTP/1.1 503 No|X-Turned-Away: 1,'REJECTED 502 '",
    "HTTP/1.1 503 No,'ERROR 502 '",
    "HTTP/1.1 500 No,'ERROR 502 '",
    "HTTP/1.1 200 OK|Transfer-Encoding: gzip,'ERROR 502 '",
    "HTTP/1.1 200 OK|Transfer-Encoding: identity,'ERROR 502 '"
  })
  void onlyFinEndsResponseWithoutLength(String head, String whole) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      for (String end : CONNECTION_ENDS) {
        String expected = end.equals("RST") ? "RESET 502 " : whole;
        for (int pieceBytes : new int[] {1, 9, 1_000}) {
          assertEquals(expected, respond(proxy, head + "||body", pieceBytes, end));
          String expectedEmpty = expected.replace("body", "");
          assertEquals(expectedEmpty, respond(proxy, head + "||", pieceBytes, end));
        }
      }
      proxy.connectClient().write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.read();
      upstream.write((head + "||body").replace("|", "\r\n"));
      awaitInputRead(proxy);
      proxy.server.closeChannelsAndStop();
      assertTrue(upstream.isClosedByPeer());
      assertTrue(proxy.policy.results.stream().allMatch(r -> r.outcome() == AttemptOutcome.RESET));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Connection: close|Content-Length: 26|||zzabcdefghijklmnopqrstuv",
        "Transfer-Encoding: chunked||1A||zzabcdefghijklmnopqrstuv|0||",
        "Transfer-Encoding: chunked||2 ;n|||00000018;x|zzabcdefghijklmnopqrstuv|00 |X: 80000000||"
      })
  void endOfTheConnectionInAResponseIsReset(String fieldsAndBody) throws Exception {
    String whole = "HTTP/1.1 100 Continue||HTTP/1.1 200 OK|" + fieldsAndBody;
    String sent = whole.replace("|", "\r\n");
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      for (String end : CONNECTION_ENDS) {
        for (int i = 0; i < sent.length(); i++) {
          assertEquals("RESET 502 ", respond(proxy, sent.substring(0, i), Math.max(1, i), end));
          assertEquals("RESET 502 ", respond(proxy, sent.substring(0, i), 1_000, end));
        }
        for (int pieceBytes : new int[] {3, 7, 1_000}) {
          assertEquals(
              "OK 200 \r\nzzabcdefghijklmnopqrstuv", respond(proxy, sent, pieceBytes, end));
        }
      }
    }
  }

  /** Guards against malformed chunks that Netty's decoder takes for others, or for the last one. */
  @ParameterizedTest
  @ValueSource(ints = {1, 7, 1_000})
  void malformedChunksAreErrors(int pieceBytes) throws Exception {
    String sizes =
        ",zz,-4,+4,0x4,4 4, 4,0 1,80000000,ffffffff,100000000,100000004,10000000000000000";
    String chunks = "4|fourXX0||,4|four0||,4|fourfive|0||,4|four||0||,4\nfour\n0\n\n";
    for (String size : sizes.split(",")) {
      chunks += "," + size + "|four|0||,4|four|" + size + "||";
    }
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      for (String malformed : chunks.split(",")) {
        String response = "HTTP/1.1 200 OK|Transfer-Encoding: chunked||" + malformed;
        assertEquals("ERROR 502 ", respond(proxy, response, pieceBytes, "FIN"));
      }
      proxy.assertStillServes();
    }
  }

  @ParameterizedTest
  @CsvSource({"200 OK,,CONNECT_FAILED", "503 No,1,REJECTED", "500 No,,ERROR"})
  void successBeforeTheRequestIsWrittenIsInvalid(
      String status, String rejected, AttemptOutcome expected) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture()) {
      proxy.upstreams.set(0, new ScriptedListener(1_024));
      proxy.start();
      useOptions(proxy, options -> options.withSendBufferBytes(4_096));
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "b".repeat(ProtocolHeaders.MAX_BODY_BYTES)));
      // The endpoint reads nothing and the buffers are small, so the body can't be written whole.
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.write(
          "HTTP/1.1 "
              + status
              + "\r\nContent-Length: 5\r\n"
              + (rejected == null ? "" : "X-Turned-Away: " + rejected + "\r\n")
              + "\r\nother");
      assertEquals(expected, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
      })
  void malformedResponseIsAnError(String response) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.read();
      upstream.write(response);
      assertEquals(AttemptOutcome.ERROR, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
      assertTrue(upstream.isClosedByPeer());
      proxy.assertStillServes();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "noise that has no end of a line",
        "HTTX",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore and more",
        // Coded in a way that is unknown here: the client would take the coded bytes for the body.
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        // Stalled: the rest is never sent.
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n\r\nhalf"
      })
  void invalidOrStalledResponseIsAnErrorAndClosesTheConnection(String response) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.atMostOnceRequest("1", "x"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.read();
      // The endpoint leaves the connection open, so the proxy must not wait for its end.
      upstream.write(response);
      assertEquals(AttemptOutcome.ERROR, proxy.policy.nextOutcome());
      assertEquals(502, client.read().status());
      assertTrue(upstream.isClosedByPeer());
      proxy.assertStillServes();
    }
  }

  @Test
  void endlessHeadersAndInterimResponsesAreErrors() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      for (String repeatedPart :
          new String[] {"HTTP/1.1 100 Continue\r\n\r\n", "X-More: of the same\r\n"}) {
        client.write(ProxyFixture.idempotentRequest("1", "20"));
        HttpPeer upstream = proxy.upstreams.get(0).accept();
        upstream.read();
        try {
          upstream.write(
              "HTTP/1.1 100 Continue\r\n"
                  + (repeatedPart.startsWith("X") ? "" : "\r\n")
                  + repeatedPart.repeat(1_000));
        } catch (IOException e) {
          // The proxy may close the connection while the endpoint still writes.
        }
        assertEquals(AttemptOutcome.ERROR, proxy.policy.nextOutcome());
        assertEquals(502, client.read().status());
      }
    }
  }

  @Test
  void interimResponsesAreSkipped() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer upstream = proxy.upstreams.get(0).accept();
      upstream.read();
      upstream.write(
          "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1");
      awaitInputRead(proxy);
      String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      upstream.write(chunked.substring(6) + "6\r\nserved\r\n0\r\n\r\n");
      assertEquals("served", client.read().body());
      client.write(ProxyFixture.idempotentRequest("2", "10"));
      upstream.read();
      upstream.write(chunked + "100000000\r\n\r\n");
      assertEquals(502, client.read().status());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "H",
        "noise",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nco"
      })
  void bytesAfterAResponseAreNotTheNextResponse(String extraBytes) throws Exception {
    for (boolean sentSeparately : new boolean[] {false, true}) {
      try (ProxyFixture proxy = new ProxyFixture().start()) {
        HttpPeer client = proxy.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", "10"));
        HttpPeer upstream = proxy.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("mine") + (sentSeparately ? "" : extraBytes));
        assertEquals("mine", client.read().body());
        if (sentSeparately) {
          upstream.write(extraBytes);
        }
        client.write(ProxyFixture.idempotentRequest("2", "10"));
        HttpPeer replacement = proxy.upstreams.get(0).accept();
        assertEquals("2", replacement.read().header("X-Txn"));
        assertTrue(upstream.isClosedByPeer());
        replacement.write(ProxyFixture.okResponse("yours"));
        assertEquals("yours", client.read().body());
      }
    }
  }

  @Test
  void lateDuplicateResponseIsNotTheNextResponse() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture()) {
      proxy.reuseDelayMillis = HttpPeer.TIMEOUT_MILLIS;
      proxy.start();
      HttpPeer client = proxy.connectClient();
      client.write(ProxyFixture.idempotentRequest("1", "10"));
      HttpPeer firstConnection = proxy.upstreams.get(0).accept();
      firstConnection.read();
      firstConnection.write(ProxyFixture.okResponse("one"));
      assertEquals("one", client.read().body());
      client.write(ProxyFixture.idempotentRequest("2", "10"));
      // The first connection is not reused since its reuse delay has not passed.
      HttpPeer secondConnection = proxy.upstreams.get(0).accept();
      assertEquals("2", secondConnection.read().header("X-Txn"));
      firstConnection.write(ProxyFixture.okResponse("one"));
      assertTrue(firstConnection.isClosedByPeer());
      secondConnection.write(ProxyFixture.okResponse("two"));
      assertEquals("two", client.read().body());
    }
  }

  @Test
  void responseBodyAboveTheLimitIsAnError() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      for (int i = 0; i < 4; i++) {
        int excessBytes = i % 2;
        client.write(ProxyFixture.idempotentRequest("1", "10"));
        HttpPeer upstream = proxy.upstreams.get(0).accept();
        upstream.read();
        String body = "b".repeat(ProtocolHeaders.MAX_BODY_BYTES + excessBytes);
        try {
          upstream.write(
              "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                  + (i < 2 ? "Content-Length: " + body.length() + "\r\n" : "")
                  + "\r\n"
                  + body);
          upstream.close();
        } catch (IOException e) {
          assertEquals(
              1,
              excessBytes,
              "the proxy closed the connection on a response of the largest allowed size");
        }
        assertEquals(
            excessBytes == 0 ? AttemptOutcome.OK : AttemptOutcome.ERROR,
            proxy.policy.nextOutcome());
        assertEquals(excessBytes == 0 ? 200 : 502, client.read().status());
      }
      proxy.assertStillServes();
    }
  }
}
