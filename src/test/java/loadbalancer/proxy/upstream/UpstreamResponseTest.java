package loadbalancer.proxy.upstream;

import static loadbalancer.proxy.upstream.UpstreamTestSupport.awaitInputRead;
import static loadbalancer.proxy.upstream.UpstreamTestSupport.useOptions;
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

/** How invalid, incomplete and duplicate responses are recognized. */
@Timeout(60)
class UpstreamResponseTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        // Delimited by the end of the connection only, as after a crash.
        "HTTP/1.1 200 OK\r\n\r\nhalf"
      })
  void endOfTheConnectionInAResponseIsReset(String part) throws Exception {
    for (boolean abruptly : new boolean[] {false, true}) {
      try (ProxyFixture proxy = new ProxyFixture().start()) {
        HttpPeer client = proxy.connectClient();
        client.write(ProxyFixture.atMostOnceRequest("1", "x"));
        HttpPeer upstream = proxy.upstreams.get(0).accept();
        upstream.read();
        upstream.write(part);
        if (abruptly) {
          upstream.reset();
        } else {
          upstream.close();
        }
        assertEquals(AttemptOutcome.RESET, proxy.policy.nextOutcome());
        HttpPeer.Message response = client.read();
        assertEquals(502, response.status());
        assertEquals("", response.body());
      }
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
      // The endpoint reads nothing, so the request can't be written completely.
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
        // Stalled: the rest never comes.
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
      // The endpoint leaves the connection open: guards against waiting for its end.
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
      for (String endless :
          new String[] {"HTTP/1.1 100 Continue\r\n\r\n", "X-More: of the same\r\n"}) {
        client.write(ProxyFixture.idempotentRequest("1", "20"));
        HttpPeer upstream = proxy.upstreams.get(0).accept();
        upstream.read();
        try {
          upstream.write(
              "HTTP/1.1 100 Continue\r\n"
                  + (endless.startsWith("X") ? "" : "\r\n")
                  + endless.repeat(1_000));
        } catch (IOException e) {
          // The connection may be closed while the endpoint still writes.
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
      upstream.write(ProxyFixture.okResponse("served").substring(6));
      assertEquals("served", client.read().body());
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
  void bytesAfterAResponseAreNotTheNextResponse(String more) throws Exception {
    for (boolean later : new boolean[] {false, true}) {
      try (ProxyFixture proxy = new ProxyFixture().start()) {
        HttpPeer client = proxy.connectClient();
        client.write(ProxyFixture.idempotentRequest("1", "10"));
        HttpPeer upstream = proxy.upstreams.get(0).accept();
        upstream.read();
        upstream.write(ProxyFixture.okResponse("mine") + (later ? "" : more));
        assertEquals("mine", client.read().body());
        if (later) {
          upstream.write(more);
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
      HttpPeer first = proxy.upstreams.get(0).accept();
      first.read();
      first.write(ProxyFixture.okResponse("one"));
      assertEquals("one", client.read().body());
      client.write(ProxyFixture.idempotentRequest("2", "10"));
      // The reuse delay of the first connection has not passed.
      HttpPeer second = proxy.upstreams.get(0).accept();
      assertEquals("2", second.read().header("X-Txn"));
      first.write(ProxyFixture.okResponse("one"));
      assertTrue(first.isClosedByPeer());
      second.write(ProxyFixture.okResponse("two"));
      assertEquals("two", client.read().body());
    }
  }

  @Test
  void responseBodyAboveTheLimitIsAnError() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture().start()) {
      HttpPeer client = proxy.connectClient();
      for (int extra = 0; extra < 2; extra++) {
        client.write(ProxyFixture.idempotentRequest("1", "10"));
        HttpPeer upstream = proxy.upstreams.get(0).accept();
        upstream.read();
        String body = "b".repeat(ProtocolHeaders.MAX_BODY_BYTES + extra);
        try {
          upstream.write(
              "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                  + body.length()
                  + "\r\n\r\n"
                  + body);
        } catch (IOException e) {
          assertEquals(1, extra, "only the response that is too large may be cut off");
        }
        assertEquals(
            extra == 0 ? AttemptOutcome.OK : AttemptOutcome.ERROR, proxy.policy.nextOutcome());
        assertEquals(extra == 0 ? 200 : 502, client.read().status());
      }
      proxy.assertStillServes();
    }
  }
}
