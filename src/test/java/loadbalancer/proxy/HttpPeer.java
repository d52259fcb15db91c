package loadbalancer.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The test's end of an HTTP/1.1 connection, on a blocking socket. */
public final class HttpPeer implements AutoCloseable {

  /** A request or response; the header names are in lower case. */
  public record Message(String startLine, Map<String, String> headers, String body) {

    public int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    public String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  /** How long a test waits for anything before it fails. */
  public static final int TIMEOUT_MILLIS = 20_000;

  public final Socket socket;
  private final InputStream in;

  HttpPeer(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    in = socket.getInputStream();
  }

  public static HttpPeer connect(InetSocketAddress address) throws IOException {
    return new HttpPeer(new Socket(InetAddress.getLoopbackAddress(), address.getPort()));
  }

  /** Connects to a process as soon as it accepts clients and answers a health check. */
  static HttpPeer connectWhenServing(InetSocketAddress address, Process process)
      throws IOException {
    while (true) {
      try {
        HttpPeer peer = connect(address);
        peer.write("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        if (peer.read().status() != 200) {
          throw new AssertionError("the health check was not answered with status 200");
        }
        return peer;
      } catch (IOException e) {
        if (!process.isAlive()) {
          throw new AssertionError("the process ended before it accepted clients", e);
        }
        Thread.onSpinWait();
      }
    }
  }

  public void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads the next message; null at the end of the stream. */
  public Message read() throws IOException {
    String startLine = readLine();
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    return new Message(startLine, headers, new String(body, StandardCharsets.ISO_8859_1));
  }

  /** The number of received bytes that are still unread. */
  public int unreadBytes() throws IOException {
    return in.available();
  }

  /** Waits until the peer closes the connection; returns whether it did. */
  public boolean isClosedByPeer() {
    try {
      return in.read() < 0;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  /** Reads a line without its end; null at the end of the stream. */
  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return line.toString();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.length() == 0 ? null : line.toString();
  }

  /** Closes the connection with a TCP reset. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
