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
 * A client of one balancer: it keeps its connection, sends one request at a time, and repeats one
 * on a new connection only if a reused one ended before any byte of a response.
 */
final class ClientStandIn implements AutoCloseable {

  /** The request classes. */
  enum Kind {
    READ,
    WRITE,
    CHARGE
  }

  /** The result of a request; status 0 stands for no complete response. */
  record Outcome(Kind kind, String transaction, int status, String body, double millis) {}

  static final double NANOS_PER_MS = 1e6;
  private static final int CONNECT_TIMEOUT_MILLIS = 10_000;

  /** The position of the status in the first line of a response. */
  private static final int STATUS_BEGIN = "HTTP/1.1 ".length();

  private static final int STATUS_END = STATUS_BEGIN + 3;

  private final InetSocketAddress balancer;
  private final double deadlineMillis;
  private final int timeoutMillis;
  private Socket socket;

  /** Creates a client with a deadline and a socket timeout in milliseconds. */
  ClientStandIn(InetSocketAddress balancer, double deadline, int timeout) {
    this.balancer = balancer;
    deadlineMillis = deadline;
    timeoutMillis = timeout;
  }

  Outcome send(Kind kind, String transaction) throws IOException {
    byte[] request = request(kind, transaction).getBytes(StandardCharsets.US_ASCII);
    boolean reused = socket != null;
    if (!reused) {
      connect();
    }
    long begun = System.nanoTime();
    Outcome outcome = exchange(kind, transaction, request, begun);
    if (outcome == null && reused) {
      close();
      connect();
      outcome = exchange(kind, transaction, request, begun);
    }
    if (outcome == null) {
      outcome = new Outcome(kind, transaction, 0, "the connection ended", millisSince(begun));
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

  private String request(Kind kind, String transaction) {
    String path = kind.name().toLowerCase(Locale.ROOT);
    String head =
        (kind == Kind.READ ? "GET" : "POST")
            + " /"
            + path
            + " HTTP/1.1\r\nHost: app.svc\r\n"
            + "X-Txn: "
            + transaction
            + "\r\nX-Lane: "
            + path
            + "\r\nX-Remaining: "
            + deadlineMillis / TimeUnit.SECONDS.toMillis(1)
            + "\r\n";
    return switch (kind) {
      case READ -> head + "\r\n";
      case WRITE ->
          head
              + "Idempotency-Key: key-"
              + transaction
              + "\r\nContent-Length: "
              + transaction.length()
              + "\r\n\r\n"
              + transaction;
      case CHARGE -> head + "Content-Length: " + transaction.length() + "\r\n\r\n" + transaction;
    };
  }

  /** Null if the connection ended before any byte of a response. */
  private Outcome exchange(Kind kind, String transaction, byte[] request, long begun) {
    String head = "";
    try {
      socket.getOutputStream().write(request);
      head = head();
      if (head.isEmpty()) {
        return null;
      }
      int length = Integer.parseInt(header(head, "content-length"));
      byte[] body = socket.getInputStream().readNBytes(length);
      boolean complete = body.length == length;
      int status = complete ? Integer.parseInt(head.substring(STATUS_BEGIN, STATUS_END)) : 0;
      if ("close".equals(header(head, "connection"))) {
        close();
      }
      return new Outcome(
          kind,
          transaction,
          status,
          new String(body, StandardCharsets.US_ASCII),
          millisSince(begun));
    } catch (SocketTimeoutException e) {
      return new Outcome(kind, transaction, 0, "no response: " + head, millisSince(begun));
    } catch (IOException e) {
      return head.isEmpty()
          ? null
          : new Outcome(kind, transaction, 0, e.getMessage(), millisSince(begun));
    }
  }

  /** All up to the empty line; empty if the connection ends before it. */
  private String head() throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
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

  private static double millisSince(long begun) {
    return (System.nanoTime() - begun) / NANOS_PER_MS;
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
