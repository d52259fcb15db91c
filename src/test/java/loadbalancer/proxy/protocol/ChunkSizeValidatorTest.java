package loadbalancer.proxy.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that chunk sizes are checked however the bytes of a body are split. */
class ChunkSizeValidatorTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private EmbeddedChannel channel = newChannel();

  private static EmbeddedChannel newChannel() {
    return new EmbeddedChannel(new ValidatingDecoder(), new HttpObjectAggregator(1_000));
  }

  private static final class ValidatingDecoder extends HttpResponseDecoder {
    private final ChunkSizeValidator validator = new ChunkSizeValidator();

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
        throws Exception {
      int start = in.readerIndex();
      super.decode(ctx, in, out);
      validator.validate(in, start, out);
    }
  }

  /** Decodes a response that arrives in pieces of the given size. */
  private FullHttpResponse decode(String response, int pieceBytes) {
    byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < bytes.length; i += pieceBytes) {
      int length = Math.min(pieceBytes, bytes.length - i);
      channel.writeInbound(Unpooled.copiedBuffer(bytes, i, length));
    }
    return channel.readInbound();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "4\r\nfour\r\n0\r\n\r\n",
        "0004\r\nfour\r\n000\r\n\r\n",
        "0000000000000004\r\nfour\r\n0\r\n\r\n",
        "4;name=value\r\nfour\r\n0;x\r\n\r\n",
        "4 ;name\r\nfour\r\n0 \r\n\r\n",
        "1\r\nf\r\n3\r\nour\r\n0\r\nTrailer: 100000000\r\n\r\n"
      })
  void acceptsValidSizes(String chunks) {
    for (int pieceBytes : new int[] {1, 2, 7, 1_000}) {
      FullHttpResponse response = decode(HEAD + chunks, pieceBytes);
      assertTrue(response.decoderResult().isSuccess());
      assertEquals("four", response.content().toString(StandardCharsets.ISO_8859_1));
      response.release();
    }
  }

  @Test
  void dataIsNotTakenForSizes() {
    String data = "\r\n100000000\r\n zz\r\n";
    String chunk = Integer.toHexString(data.length()).toUpperCase(Locale.ROOT);
    for (int pieceBytes = 1; pieceBytes < 20; pieceBytes++) {
      FullHttpResponse response =
          decode(HEAD + (chunk + "\r\n" + data + "\r\n").repeat(3) + "0\r\n\r\n", pieceBytes);
      assertTrue(response.decoderResult().isSuccess());
      assertEquals(data.repeat(3), response.content().toString(StandardCharsets.ISO_8859_1));
      response.release();
    }
  }

  /** Guards against sizes that Netty's decoder accepts as others than they are. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "100000004\r\nfour\r\n0\r\n\r\n",
        "4\r\nfour\r\n100000000\r\n\r\n",
        "4\r\nfour\r\n80000000\r\n\r\n",
        "4\r\nfour\r\n10000000000000000\r\n\r\n",
        "4 4\r\nfour\r\n0\r\n\r\n",
        " 4\r\nfour\r\n0\r\n\r\n",
        "4\r\nfour\r\n0 1\r\n\r\n"
      })
  void malformedSizeFailsTheMessage(String chunks) {
    for (int pieceBytes : new int[] {1, 2, 7, 1_000}) {
      channel = newChannel();
      FullHttpResponse response = decode(HEAD + chunks, pieceBytes);
      assertFalse(response.decoderResult().isSuccess(), chunks);
      response.release();
    }
  }

  @Test
  void sizesOfTheNextMessageAreChecked() {
    decode(HEAD + "4\r\nfour\r\n0\r\n\r\n", 1_000).release();
    decode("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n100000000", 1_000).release();
    FullHttpResponse response = decode(HEAD + "100000000\r\n\r\n", 1_000);
    assertFalse(response.decoderResult().isSuccess());
    response.release();
  }
}
