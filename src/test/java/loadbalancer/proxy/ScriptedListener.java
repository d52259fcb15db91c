package loadbalancer.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A listening socket that passes the connections it accepts to the test. */
public final class ScriptedListener implements AutoCloseable {

  private final ServerSocket server;
  private final java.net.Socket portHolder = new java.net.Socket();
  private final LinkedBlockingQueue<HttpPeer> accepted = new LinkedBlockingQueue<>();
  private final Thread acceptor;

  public ScriptedListener() throws IOException {
    this(0);
  }

  /** Creates a listener with a receive buffer of the given size; 0 for the default. */
  public ScriptedListener(int receiveBufferBytes) throws IOException {
    server = new ServerSocket();
    if (receiveBufferBytes > 0) {
      server.setReceiveBufferSize(receiveBufferBytes);
    }
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    acceptor =
        new Thread(
            () -> {
              try {
                while (true) {
                  accepted.add(new HttpPeer(server.accept()));
                }
              } catch (IOException e) {
                // The listener has been closed.
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
  }

  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Returns the next accepted connection; fails the test if none is accepted in time. */
  public HttpPeer accept() throws InterruptedException {
    HttpPeer peer = accepted.poll(HttpPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (peer == null) {
      throw new AssertionError(
          "no connection was accepted within " + HttpPeer.TIMEOUT_MILLIS + " ms");
    }
    return peer;
  }

  /** The number of accepted connections that {@link #accept} has not returned yet. */
  public int pendingConnections() {
    return accepted.size();
  }

  /**
   * Stops listening but keeps the port bound: it could otherwise become the local port of a client
   * that connects to it, and that client would be connected to itself.
   */
  @Override
  public void close() throws IOException {
    server.close();
    // accept() may still return a connection after close(), until its thread has ended.
    try {
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try {
      portHolder.setReuseAddress(true);
      portHolder.bind(server.getLocalSocketAddress());
    } catch (IOException e) {
      // This listener was closed before, or another socket has bound the port already.
    }
  }
}
