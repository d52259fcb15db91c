package loadbalancer.proxy.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Checks the chunk sizes of the bodies that one decoder decodes. Netty's decoder doesn't notice
 * that a size exceeds 32 bits and takes {@code 100000000} for 0, the end of the body, and it
 * ignores what follows a size after white space.
 */
public final class ChunkSizeValidator {

  /** Where in a chunked body the next byte is. */
  private enum Position {
    /** Before the first digit of a chunk size. */
    SIZE_START,
    /** After the first digit of a chunk size. */
    SIZE,
    /** Between a chunk size and its extension or the end of the line. */
    AFTER_SIZE,
    /** In a chunk extension. */
    EXTENSION,
    /** In the data of a chunk. */
    DATA,
    /** Between the data of a chunk and the end of the line. */
    AFTER_DATA,
    /** After the line of the last chunk. */
    TRAILER
  }

  private static final int HEXADECIMAL = 16;

  private Position position = Position.SIZE_START;

  /** Whether the head of a chunked message has been decoded, but not the end of its body. */
  private boolean inChunkedBody;

  /** The size of the current chunk as far as it has been read; in its data, the bytes to come. */
  private long size;

  /**
   * Called after each call of the decoder. If the decoder has accepted a malformed chunk size, what
   * it was decoded into is replaced by an end of the body with a failure.
   *
   * @param input what the decoder read from
   * @param start the reader index of the input before the call
   * @param messages what the decoder added in the call
   */
  public void validate(ByteBuf input, int start, List<Object> messages) {
    if (inChunkedBody && !isValid(input, start)) {
      inChunkedBody = false;
      messages.forEach(ReferenceCountUtil::release);
      messages.clear();
      messages.add(malformedEnd());
    }
    for (Object message : messages) {
      if (message instanceof HttpMessage head) {
        inChunkedBody = HttpUtil.isTransferEncodingChunked(head);
        startChunk();
      }
      if (message instanceof LastHttpContent) {
        inChunkedBody = false;
      }
    }
  }

  private static LastHttpContent malformedEnd() {
    LastHttpContent end = new DefaultLastHttpContent();
    end.setDecoderResult(
        DecoderResult.failure(new IllegalArgumentException("chunk size is malformed")));
    return end;
  }

  private void startChunk() {
    position = Position.SIZE_START;
    size = 0;
  }

  private boolean isValid(ByteBuf input, int start) {
    int index = start;
    while (index < input.readerIndex()) {
      if (position == Position.DATA) {
        index += skipData(input.readerIndex() - index);
      } else if (!advance(input.getByte(index++))) {
        return false;
      }
    }
    return true;
  }

  /** Skips data of the current chunk, and returns how many bytes. */
  private int skipData(int available) {
    int skipped = (int) Math.min(size, available);
    size -= skipped;
    if (size == 0) {
      position = Position.AFTER_DATA;
    }
    return skipped;
  }

  /** Reads one byte that is not data; returns false if it shows that a size is malformed. */
  private boolean advance(byte next) {
    int digit = Character.digit(next, HEXADECIMAL);
    return switch (position) {
      case SIZE_START -> digit >= 0 && addDigit(digit);
      case SIZE -> digit >= 0 ? addDigit(digit) : endSize(next);
      case AFTER_SIZE -> endSize(next);
      case EXTENSION -> next != '\n' || endSize(next);
      case AFTER_DATA -> {
        if (next == '\n') {
          startChunk();
        }
        yield true;
      }
      case DATA, TRAILER -> true;
    };
  }

  /** Adds a digit to the size; returns false if the size is too large. */
  private boolean addDigit(int digit) {
    position = Position.SIZE;
    size = HEXADECIMAL * size + digit;
    return size <= Integer.MAX_VALUE;
  }

  /** Reads a byte after the size; returns false if no size may be followed by it. */
  private boolean endSize(byte next) {
    switch (next) {
      case ' ', '\t', '\r' -> position = Position.AFTER_SIZE;
      case ';' -> position = Position.EXTENSION;
      case '\n' -> position = size == 0 ? Position.TRAILER : Position.DATA;
      default -> {
        return false;
      }
    }
    return true;
  }
}
