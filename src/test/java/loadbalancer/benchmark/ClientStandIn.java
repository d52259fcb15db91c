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
 * A client of one balancer by the protocol page: it keeps its connection, sends one request at a
 * time, and sends one once more on a new connection only if a kept one ended before any byte of an
 * answer.
 */
final class ClientStandIn implements AutoCloseable {

  /** The classes of service that it asks for. */
  enum Kind {
    READ,
    WRITE,
    CHARGE
  }

  /** What became of a request; status 0 stands for no whole answer. */
  record Outcome(Kind kind, String transaction, int status, String body, double millis) {}

  static final double NANOS_PER_MS = 1e6;
  private static final int CONNECT_MS = 10_000;

  /** Where the status stands in the first line of an answer. */
  private static final int STATUS_BEGIN = "HTTP/1.1 ".length();

  private static final int STATUS_END = STATUS_BEGIN + 3;

  private final InetSocketAddress balancer;
  private final double patienceMillis;
  private final int mostMillis;
  private Socket socket;

  /** A request's time is {@code patience} ms; an answer is waited for up to {@code most} ms. */
  ClientStandIn(InetSocketAddress balancer, double patience, int most) {
    this.balancer = balancer;
    patienceMillis = patience;
    mostMillis = most;
  }

  Outcome ask(Kind kind, String transaction) throws IOException {
    byte[] request = request(kind, transaction).getBytes(StandardCharsets.US_ASCII);
    boolean kept = socket != null;
    if (!kept) {
      connect();
    }
    long begun = System.nanoTime();
    Outcome outcome = exchange(kind, transaction, request, begun);
    if (outcome == null && kept) {
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
    socket.connect(balancer, CONNECT_MS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(mostMillis);
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
            + patienceMillis / TimeUnit.SECONDS.toMillis(1)
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

  /** Null if the connection ended before any byte of an answer. */
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
      boolean whole = body.length == length;
      int status = whole ? Integer.parseInt(head.substring(STATUS_BEGIN, STATUS_END)) : 0;
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
      return new Outcome(kind, transaction, 0, "no answer: " + head, millisSince(begun));
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
      // It is gone either way.
    }
    socket = null;
  }
}
