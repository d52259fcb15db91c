package loadbalancer.proxy.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A message that arrives in pieces keeps no more memory than its size. */
class CompactingAggregatorTest {

  private static final int RECEIVE_BUFFER_BYTES = 65_536;
  private static final int MAX_BODY_BYTES = 65_536;

  private static DefaultHttpResponse responseHead() {
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
  }

  private static ByteBuf receiveBuffer(String piece) {
    return Unpooled.buffer(RECEIVE_BUFFER_BYTES)
        .writeBytes(piece.getBytes(StandardCharsets.US_ASCII));
  }

  /** Guards against small pieces of many responses that use up the direct memory. */
  @Test
  void pieceDoesNotKeepItsReceiveBuffer() {
    EmbeddedChannel channel = new EmbeddedChannel(new CompactingAggregator(MAX_BODY_BYTES));
    channel.writeInbound(responseHead());
    ByteBuf first = receiveBuffer("first ");
    channel.writeInbound(new DefaultHttpContent(first));
    assertEquals(0, first.refCnt());
    ByteBuf last = receiveBuffer("last");
    channel.writeInbound(new DefaultLastHttpContent(last));
    assertEquals(0, last.refCnt());
    FullHttpResponse response = channel.readInbound();
    assertEquals("first last", response.content().toString(StandardCharsets.US_ASCII));
    assertTrue(response.content().capacity() <= "first last".length());
    assertTrue(response.release());
  }

  @Test
  void keepsTrailersAndReportsIncompleteMessage() {
    EmbeddedChannel channel = new EmbeddedChannel(new CompactingAggregator(MAX_BODY_BYTES));
    channel.writeInbound(responseHead());
    LastHttpContent last = new DefaultLastHttpContent(receiveBuffer("body"));
    last.trailingHeaders().set("a", "b");
    channel.writeInbound(last);
    FullHttpResponse response = channel.readInbound();
    assertEquals("b", response.trailingHeaders().get("a"));
    assertTrue(response.release());
    channel.writeInbound(responseHead(), new DefaultHttpContent(receiveBuffer("half")));
    assertThrows(PrematureChannelClosureException.class, channel::finishAndReleaseAll);
  }
}
