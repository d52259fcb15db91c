package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.DescriptorBudget;

/**
 * Closes a connection after its last response. To close it at once while the client still sends
 * would reset it, and the client could lose the response. Therefore only the output is shut down
 * first, and input is discarded until the client closes its side or a timeout expires.
 */
final class LingeringClose {

  /** How long the client may take to close its side. */
  private static final long TIMEOUT_MILLIS = 500;

  /** After discarding this much, reading stops, so that an endless sender can't occupy the loop. */
  private static final int MAX_DISCARDED_BYTES = 1024 * 1024;

  private final Channel channel;
  private final ChannelHandler decoder;
  private int discardedBytes;

  /**
   * Prepares the close of a connection.
   *
   * @param decoder removed from the channel's pipeline when the close begins; its owner then passes
   *     the bytes that arrive to {@link #countDiscarded}
   */
  LingeringClose(Channel channel, ChannelHandler decoder) {
    this.channel = channel;
    this.decoder = decoder;
  }

  /** Shuts the output down and starts the timeout; does nothing if the channel is closed. */
  void begin() {
    if (!channel.isActive()) {
      return;
    }
    ((SocketChannel) channel).shutdownOutput();
    if (channel.pipeline().context(decoder) != null) {
      channel.pipeline().remove(decoder);
      channel.config().setAutoRead(true);
      channel.eventLoop().schedule(() -> channel.close(), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Ends the close early. What the kernel holds is read first: to close over unread bytes would
   * reset the connection.
   */
  void closeNow() {
    DescriptorBudget.readNow(channel);
    channel.close();
  }

  /** Counts bytes that arrived during the close; the caller releases them. */
  void countDiscarded(ByteBuf bytes) {
    discardedBytes += bytes.readableBytes();
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      channel.config().setAutoRead(false);
    }
  }
}
