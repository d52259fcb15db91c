package loadbalancer.proxy.memory;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.List;

/**
 * Aggregates messages and copies each piece of a body that arrives. The pieces are slices of the
 * buffer into which the socket was read, and a few bytes would keep all of that buffer in memory
 * until the message has been handled.
 */
public final class CompactingAggregator extends HttpObjectAggregator {

  /**
   * Creates an aggregator.
   *
   * @param maxBodyBytes the maximum size of a body
   */
  public CompactingAggregator(int maxBodyBytes) {
    super(maxBodyBytes);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, HttpObject message, List<Object> out)
      throws Exception {
    if (!(message instanceof HttpContent content) || !content.content().isReadable()) {
      super.decode(ctx, message, out);
      return;
    }
    HttpContent compact = content.replace(copy(ctx, content.content()));
    try {
      super.decode(ctx, compact, out);
    } finally {
      compact.release();
    }
  }

  private static ByteBuf copy(ChannelHandlerContext ctx, ByteBuf piece) {
    int length = piece.readableBytes();
    return ctx.alloc().buffer(length, length).writeBytes(piece, piece.readerIndex(), length);
  }
}
