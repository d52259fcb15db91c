package loadbalancer.proxy.upstream;

import static loadbalancer.proxy.upstream.UpstreamTestSupport.awaitInputRead;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.proxy.HttpPeer;
import loadbalancer.proxy.ProxyFixture;
import loadbalancer.proxy.ScriptedPolicy;
import loadbalancer.proxy.protocol.ProtocolHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which end of a connection is the end of a response that has no length. */
@Timeout(60)
class ResponseEndTest {

  /** How an endpoint ends a connection. */
  private enum ConnectionEnd {
    FIN {
      @Override
      void apply(HttpPeer upstream) throws IOException {
        upstream.socket.shutdownOutput();
      }
    },
    FIN_THEN_RESET {
      @Override
      void apply(HttpPeer upstream) throws IOException {
        upstream.socket.shutdownOutput();
        upstream.reset();
      }
    },
    RESET {
      @Override
      void apply(HttpPeer upstream) throws IOException {
        upstream.reset();
      }
    };

    abstract void apply(HttpPeer upstream) throws IOException;
  }

  private ProxyFixture proxy;
  private HttpPeer client;

  @BeforeEach
  void startProxy() throws Exception {
    proxy = new ProxyFixture(2).start();
    client = proxy.connectClient();
  }

  @AfterEach
  void stopProxy() throws IOException {
    proxy.close();
  }

  /** Sends a request that must not be repeated; returns the endpoint's connection that has it. */
  private HttpPeer sendRequest() throws Exception {
    client.write(ProxyFixture.atMostOnceRequest("1", "x"));
    HttpPeer upstream = proxy.upstreams.get(0).accept();
    upstream.read();
    return upstream;
  }

  private void assertResponse(AttemptOutcome outcome, int status, String body) throws Exception {
    assertEquals(outcome, proxy.policy.nextOutcome());
    HttpPeer.Message response = client.read();
    assertEquals(status, response.status());
    assertEquals(body, response.body());
  }

  /** Guards against whole responses without a length that are taken for truncated ones. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
        "HTTP/1.0 200 OK\r\nX: y\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
      })
  void finEndsResponseWithoutLength(String head) throws Exception {
    for (String body : new String[] {"served", "", "b".repeat(ProtocolHeaders.MAX_BODY_BYTES)}) {
      HttpPeer upstream = sendRequest();
      upstream.write(head + body);
      upstream.socket.shutdownOutput();
      assertResponse(AttemptOutcome.OK, 200, body);
      assertEquals(-1, upstream.socket.getInputStream().read());
    }
  }

  @Test
  void finEndsResponseWithoutLengthThatArrivedBeforeIt() throws Exception {
    HttpPeer upstream = sendRequest();
    for (String piece : new String[] {"HTTP/1.1 200 OK\r", "\n\r\nin ", "pieces"}) {
      upstream.write(piece);
      awaitInputRead(proxy);
    }
    upstream.close();
    assertResponse(AttemptOutcome.OK, 200, "in pieces");
  }

  /** Guards against a balancer that takes any end of a connection for the end of a response. */
  @ParameterizedTest
  @EnumSource
  void endOfTheConnectionThatIsReadWithTheResponse(ConnectionEnd end) throws Exception {
    HttpPeer upstream = sendRequest();
    proxy.runOnLoop(
        () -> {
          upstream.write("HTTP/1.1 200 OK\r\n\r\nbody");
          end.apply(upstream);
        });
    boolean whole = end != ConnectionEnd.RESET;
    assertResponse(
        whole ? AttemptOutcome.OK : AttemptOutcome.RESET, whole ? 200 : 502, whole ? "body" : "");
  }

  @Test
  void resetAfterTheBodyHasBeenReadEndsNoResponse() throws Exception {
    HttpPeer upstream = sendRequest();
    upstream.write("HTTP/1.1 200 OK\r\n\r\nbody");
    awaitInputRead(proxy);
    upstream.reset();
    assertResponse(AttemptOutcome.RESET, 502, "");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nnine byte",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\nX: y\r\n"
      })
  void noEndOfTheConnectionCompletesAHeadOrABodyWithALength(String incomplete) throws Exception {
    for (ConnectionEnd end : ConnectionEnd.values()) {
      for (boolean readBefore : new boolean[] {false, true}) {
        HttpPeer upstream = sendRequest();
        if (readBefore) {
          upstream.write(incomplete);
          awaitInputRead(proxy);
          end.apply(upstream);
        } else {
          proxy.runOnLoop(
              () -> {
                upstream.write(incomplete);
                end.apply(upstream);
              });
        }
        assertResponse(AttemptOutcome.RESET, 502, "");
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"503,X-Turned-Away: 1,REJECTED", "503,X: y,ERROR", "500,X: y,ERROR"})
  void statusWithoutLengthCountsIfTheResponseIsWhole(
      int status, String field, AttemptOutcome expected) throws Exception {
    for (ConnectionEnd end : ConnectionEnd.values()) {
      HttpPeer upstream = sendRequest();
      proxy.runOnLoop(
          () -> {
            upstream.write("HTTP/1.1 " + status + " No\r\n" + field + "\r\n\r\nno");
            end.apply(upstream);
          });
      assertResponse(end == ConnectionEnd.RESET ? AttemptOutcome.RESET : expected, 502, "");
    }
  }

  /** Guards against a malformed frame that a FIN makes the end of a response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\nfour\r\n0\r\n\r\n",
        "zz\r\nfour\r\n0\r\n\r\n",
        "-4\r\nfour\r\n0\r\n\r\n",
        "+4\r\nfour\r\n0\r\n\r\n",
        "0x4\r\nfour\r\n0\r\n\r\n",
        "4 4\r\nfour\r\n0\r\n\r\n",
        "4\r\nfourXX0\r\n\r\n",
        "4\r\nfour0\r\n\r\n",
        "4\r\nfourfive\r\n0\r\n\r\n",
        "4\r\nfour\r\n\r\n0\r\n\r\n",
        "4\nfour\n0\n\n",
        "100000004\r\nfour\r\n0\r\n\r\n",
        "4\r\nfour\r\n100000000\r\n\r\n",
        "4\r\nfour\r\nffffffff\r\n\r\n"
      })
  void finEndsNoResponseWithAMalformedChunk(String chunks) throws Exception {
    for (boolean readBefore : new boolean[] {false, true}) {
      HttpPeer upstream = sendRequest();
      upstream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
      if (readBefore) {
        awaitInputRead(proxy);
      }
      upstream.socket.shutdownOutput();
      assertResponse(AttemptOutcome.ERROR, 502, "");
    }
  }

  /** Guards against a coded body that a FIN makes a plain one. */
  @ParameterizedTest
  @ValueSource(strings = {"gzip", "chunked, gzip", "identity"})
  void finEndsNoResponseWithAnUnknownTransferCoding(String coding) throws Exception {
    for (boolean readBefore : new boolean[] {false, true}) {
      HttpPeer upstream = sendRequest();
      upstream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n");
      upstream.write("4\r\nbody\r\n0\r\n\r\n");
      if (readBefore) {
        awaitInputRead(proxy);
      }
      upstream.socket.shutdownOutput();
      assertResponse(AttemptOutcome.ERROR, 502, "");
    }
  }

  @Test
  void bodyWithoutLengthAboveTheLimitIsAnError() throws Exception {
    HttpPeer upstream = sendRequest();
    proxy.runOnLoop(
        () -> {
          upstream.write(
              "HTTP/1.1 200 OK\r\n\r\n" + "b".repeat(ProtocolHeaders.MAX_BODY_BYTES + 1));
          upstream.socket.shutdownOutput();
        });
    assertResponse(AttemptOutcome.ERROR, 502, "");
    proxy.assertStillServes();
  }

  @Test
  void timeoutOfTheAttemptEndsNoResponse() throws Exception {
    proxy.policy.onRequest = request -> proxy.policy.sendTo(0, request, 100);
    HttpPeer upstream = sendRequest();
    upstream.write("HTTP/1.1 200 OK\r\n\r\nbody");
    assertResponse(AttemptOutcome.TIMEOUT, 502, "");
    assertTrue(upstream.isClosedByPeer());
  }

  @Test
  void cancellationEndsNoResponse() throws Exception {
    proxy.policy.onRequest =
        request -> {
          proxy.policy.sendTo(0, request, 0);
          proxy.policy.sendTo(1, request, 0);
        };
    HttpPeer cancelled = sendRequest();
    cancelled.write("HTTP/1.1 200 OK\r\n\r\nbody");
    awaitInputRead(proxy);
    proxy.policy.onUnansweredResult =
        (actions, result) -> actions.cancelAttempt(result.requestId(), 0);
    HttpPeer failing = proxy.upstreams.get(1).accept();
    failing.read();
    failing.reset();
    assertEquals(AttemptOutcome.RESET, proxy.policy.nextOutcome());
    assertEquals(AttemptOutcome.CANCELLED, proxy.policy.nextOutcome());
    assertTrue(cancelled.isClosedByPeer());
  }

  @Test
  void endOfTheEventLoopEndsNoResponse() throws Exception {
    HttpPeer upstream = sendRequest();
    upstream.write("HTTP/1.1 200 OK\r\n\r\nbody");
    awaitInputRead(proxy);
    proxy.closeChannelsAndStop();
    assertTrue(upstream.isClosedByPeer());
    for (var result = proxy.policy.results.poll();
        result != null;
        result = proxy.policy.results.poll()) {
      assertNotEquals(AttemptOutcome.OK, result.outcome());
    }
    try {
      HttpPeer.Message response = client.read();
      assertTrue(response == null || response.status() != 200);
    } catch (IOException e) {
      // The client's connection has been reset, which is no response either.
    }
  }

  @Test
  void connectionWhoseInputHasEndedIsNotReused() throws Exception {
    for (String head :
        new String[] {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"}) {
      HttpPeer upstream = sendRequest();
      proxy.runOnLoop(
          () -> {
            upstream.write(head + "body");
            upstream.socket.shutdownOutput();
          });
      assertResponse(AttemptOutcome.OK, 200, "body");
      assertEquals(-1, upstream.socket.getInputStream().read());
    }
    proxy.assertStillServes();
  }

  @Test
  void healthCheckWithoutLengthSucceeds() throws Exception {
    proxy.policy.onRequest =
        request -> proxy.policy.actions.checkHealth(proxy.policy.endpoints.get(0).id());
    HttpPeer upstream = sendRequest();
    upstream.write("HTTP/1.1 200 OK\r\n\r\nqueue=2,eps=0.5,latency_ms=61");
    upstream.close();
    assertEquals("OK [2.0, 0.5, 61.0]", ScriptedPolicy.takeNext(proxy.policy.healthChecks));
  }
}
