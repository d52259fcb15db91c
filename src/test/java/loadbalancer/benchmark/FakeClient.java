package loadbalancer.benchmark;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * A client of one balancer. It keeps its connection and sends one request at a time. It repeats a
 * request, on a new connection, only if a reused connection ended before the head of the response
 * was complete, as the balancer may close an idle connection at any time.
 */
final class FakeClient implements AutoCloseable {

  /** The names of the request classes, in upper case. */
  enum RequestClassName {
    READ,
    WRITE,
    CHARGE
  }

  /** The result of a request. The status is 0 if there was no complete response. */
  record Outcome(
      RequestClassName requestClass,
      String transactionId,
      int status,
      String body,
      double elapsedMillis) {}

  static final double NANOS_PER_MS = 1e6;
  private static final int CONNECT_TIMEOUT_MILLIS = 10_000;

  // The position of the status code in the first line of a response.
  private static final int STATUS_START = "HTTP/1.1 ".length();

  private static final int STATUS_END = STATUS_START + 3;

  private final InetSocketAddress balancer;
  private final double deadlineMillis;
  private final int timeoutMillis;
  private Socket socket;

  /**
   * Creates a client.
   *
   * @param deadlineMillis the remaining time that each request states
   * @param timeoutMillis how long the client waits for more of a response
   */
  FakeClient(InetSocketAddress balancer, double deadlineMillis, int timeoutMillis) {
    this.balancer = balancer;
    this.deadlineMillis = deadlineMillis;
    this.timeoutMillis = timeoutMillis;
  }

  Outcome send(RequestClassName requestClass, String transactionId) throws IOException {
    byte[] request = request(requestClass, transactionId).getBytes(StandardCharsets.US_ASCII);
    boolean reused = socket != null;
    if (!reused) {
      connect();
    }
    long startNanos = System.nanoTime();
    Outcome outcome = exchange(requestClass, transactionId, request, startNanos);
    if (outcome == null && reused) {
      close();
      connect();
      outcome = exchange(requestClass, transactionId, request, startNanos);
    }
    if (outcome == null) {
      outcome =
          new Outcome(
              requestClass,
              transactionId,
              0,
              "the connection ended before the head of the response was complete",
              millisSince(startNanos));
    }
    if (outcome.status() == 0) {
      close();
    }
    return outcome;
  }

  private void connect() throws IOException {
    socket = new Socket();
    socket.connect(balancer, CONNECT_TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
  }

  private String request(RequestClassName requestClass, String transactionId) {
    String path = requestClass.name().toLowerCase(Locale.ROOT);
    String head =
        (requestClass == RequestClassName.READ ? "GET" : "POST")
            + " /"
            + path
            + " HTTP/1.1\r\nHost: app.svc\r\n"
            + "X-Txn: "
            + transactionId
            + "\r\nX-Lane: "
            + path
            + "\r\nX-Remaining: "
            + deadlineMillis / TimeUnit.SECONDS.toMillis(1)
            + "\r\n";
    return switch (requestClass) {
      case READ -> head + "\r\n";
      case WRITE ->
          head
              + "Idempotency-Key: key-"
              + transactionId
              + "\r\nContent-Length: "
              + transactionId.length()
              + "\r\n\r\n"
              + transactionId;
      case CHARGE ->
          head + "Content-Length: " + transactionId.length() + "\r\n\r\n" + transactionId;
    };
  }

  /** Sends a request; returns null if the connection ended within or before the response's head. */
  private Outcome exchange(
      RequestClassName requestClass, String transactionId, byte[] request, long startNanos) {
    String head = "";
    try {
      socket.getOutputStream().write(request);
      head = readHead();
      if (head.isEmpty()) {
        return null;
      }
      int length = Integer.parseInt(header(head, "content-length"));
      byte[] body = socket.getInputStream().readNBytes(length);
      boolean complete = body.length == length;
      int status = complete ? Integer.parseInt(head.substring(STATUS_START, STATUS_END)) : 0;
      if ("close".equals(header(head, "connection"))) {
        close();
      }
      return new Outcome(
          requestClass,
          transactionId,
          status,
          new String(body, StandardCharsets.US_ASCII),
          millisSince(startNanos));
    } catch (SocketTimeoutException e) {
      return new Outcome(
          requestClass, transactionId, 0, "timed out; received: " + head, millisSince(startNanos));
    } catch (IOException e) {
      return head.isEmpty()
          ? null
          : new Outcome(requestClass, transactionId, 0, e.getMessage(), millisSince(startNanos));
    }
  }

  /** Reads the head of a response; returns an empty string if the connection ends within it. */
  private String readHead() throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int nextByte = in.read();
      if (nextByte < 0) {
        return "";
      }
      head.append((char) nextByte);
    }
    return head.toString();
  }

  private static String header(String head, String name) {
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst()
        .orElse("0");
  }

  private static double millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / NANOS_PER_MS;
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // The connection is closed either way.
    }
    socket = null;
  }
}
