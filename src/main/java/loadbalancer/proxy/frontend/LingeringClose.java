package loadbalancer.proxy.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after its last response. To close while the client still sends would reset
 * the connection, and the client could lose the response; so the output ends first, and what the
 * client sends is discarded until it closes too or its time is over.
 */
final class LingeringClose {

  private static final long TIMEOUT_MILLIS = 500;

  /** Reading stops after so much, so that an endless sender can't occupy the event loop. */
  private static final int MAX_DISCARDED_BYTES = 1024 * 1024;

  private final Channel channel;
  private final ChannelHandler decoder;
  private int discardedBytes;

  /**
   * Prepares the close of a connection.
   *
   * @param decoder removed from the pipeline when the close begins; bytes then reach {@link
   *     #discard}
   */
  LingeringClose(Channel channel, ChannelHandler decoder) {
    this.channel = channel;
    this.decoder = decoder;
  }

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

  /** Counts bytes that arrive during the close; they stay the caller's to release. */
  void discard(ByteBuf bytes) {
    discardedBytes += bytes.readableBytes();
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      channel.config().setAutoRead(false);
    }
  }
}
