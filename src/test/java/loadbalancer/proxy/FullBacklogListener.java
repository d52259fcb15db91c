package loadbalancer.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening socket whose accept backlog is full, so that further connects hang. */
public final class FullBacklogListener implements AutoCloseable {

  /** Long enough that Linux sends no SYN cookies, which make a client believe it is connected. */
  private static final int BACKLOG = 8;

  private final ServerSocket server =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final List<SocketChannel> backlogConnections = new ArrayList<>();

  public FullBacklogListener() throws Exception {
    // Linux admits one connection more than the backlog.
    for (int i = 0; i <= BACKLOG; i++) {
      backlogConnections.add(SocketChannel.open(server.getLocalSocketAddress()));
    }
  }

  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /**
   * Empties the backlog, and returns the first connection that is not one of those that filled it.
   */
  public HttpPeer acceptAfterBacklog() throws Exception {
    List<Integer> backlogPorts = new ArrayList<>();
    for (SocketChannel channel : backlogConnections) {
      backlogPorts.add(((InetSocketAddress) channel.getLocalAddress()).getPort());
    }
    server.setSoTimeout(HttpPeer.TIMEOUT_MILLIS);
    HttpPeer next = new HttpPeer(server.accept());
    while (backlogPorts.contains(next.socket.getPort())) {
      next.close();
      next = new HttpPeer(server.accept());
    }
    return next;
  }

  @Override
  public void close() throws IOException {
    for (SocketChannel channel : backlogConnections) {
      channel.close();
    }
    server.close();
  }
}
