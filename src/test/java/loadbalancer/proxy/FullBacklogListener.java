package loadbalancer.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening socket whose queue is full: further connections hang until someone is accepted. */
public final class FullBacklogListener implements AutoCloseable {

  /**
   * Connections that wait to be accepted, for which Linux takes one more than it is told. With only
   * one or two, several that hang and try again at once make it answer them by SYN cookies. It then
   * forgets a connection whose last packet finds the queue full, while the other end takes it to be
   * up.
   */
  private static final int LENGTH = 8;

  private final ServerSocket server = new ServerSocket(0, LENGTH, InetAddress.getLoopbackAddress());
  private final List<SocketChannel> filling = new ArrayList<>();

  public FullBacklogListener() throws Exception {
    for (int i = 0; i <= LENGTH; i++) {
      filling.add(SocketChannel.open(server.getLocalSocketAddress()));
    }
  }

  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Lets those in that fill the queue, then the next one that is none of them. */
  public HttpPeer acceptAfterBacklog() throws Exception {
    List<Integer> own = new ArrayList<>();
    for (SocketChannel channel : filling) {
      own.add(((InetSocketAddress) channel.getLocalAddress()).getPort());
    }
    server.setSoTimeout(HttpPeer.TIMEOUT_MILLIS);
    HttpPeer next = new HttpPeer(server.accept());
    while (own.contains(next.socket.getPort())) {
      next.close();
      next = new HttpPeer(server.accept());
    }
    return next;
  }

  @Override
  public void close() throws IOException {
    for (SocketChannel channel : filling) {
      channel.close();
    }
    server.close();
  }
}
