package loadbalancer.proxy.memory;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;

/**
 * Counts the heap that the head of one message occupies while a decoder receives it. The text of a
 * head is limited by Netty's decoder, but its header fields may be short and many, and the objects
 * of each take far more memory than its text. Used on the event loop thread only.
 */
public final class HeadMemory {

  /** The maximum number of header fields of a message, those in its trailer included. */
  public static final int MAX_HEADER_FIELDS = 1_024;

  /** The heap that the objects of one header field occupy, without its text. */
  private static final int FIELD_OVERHEAD_BYTES = 160;

  /** The heap that the objects of a message occupy, without its header fields. */
  private static final int MESSAGE_OVERHEAD_BYTES = 512;

  /** The maximum length of the text of a head: Netty's limits of the first line and the rest. */
  private static final int MAX_TEXT_BYTES = 4_096 + 8_192;

  private final MemoryBudget budget;
  private final MemoryReservation reservation;
  private int fields;
  private int textBytes;

  /** Whether the head of the message that is being received is complete. */
  private boolean headComplete;

  /** Creates the count of one connection, whose messages are received one after another. */
  public HeadMemory(MemoryBudget budget) {
    this.budget = budget;
    reservation = new MemoryReservation(budget);
  }

  /**
   * Creates the count of one connection whose incomplete heads may be evicted.
   *
   * @param onEvict called when the memory of an incomplete head is needed for others; has to call
   *     {@link #release}
   */
  public HeadMemory(MemoryBudget budget, Runnable onEvict) {
    this.budget = budget;
    reservation = new MemoryReservation(budget, onEvict);
  }

  /**
   * Reserves memory for one more header field.
   *
   * @throws TooLongHttpHeaderException if the head has too many fields
   * @throws MemoryExhaustedException if no memory is left
   */
  public void reserveField() {
    fields++;
    if (fields > MAX_HEADER_FIELDS) {
      throw new TooLongHttpHeaderException("more than " + MAX_HEADER_FIELDS + " header fields");
    }
    if (!reservation.tryReserve(FIELD_OVERHEAD_BYTES)) {
      throw new MemoryExhaustedException();
    }
  }

  /**
   * Called after each call of the decoder.
   *
   * @param bytes the number of bytes that were decoded
   * @param messages what they were decoded into
   */
  public void countDecoded(int bytes, List<Object> messages) {
    if (!headComplete) {
      addText(bytes);
    }
    for (Object message : messages) {
      if (message instanceof HttpMessage) {
        headComplete = true;
      }
      if (message instanceof LastHttpContent) {
        headComplete = false;
      }
    }
  }

  private void addText(int bytes) {
    int counted = Math.min(bytes, MAX_TEXT_BYTES - textBytes);
    if (counted > 0) {
      reservation.reserve(textBytes == 0 ? counted + MESSAGE_OVERHEAD_BYTES : counted);
      textBytes += counted;
    }
  }

  /** Releases the memory of the message, of which nothing is kept, and begins with the next one. */
  public void release() {
    reservation.release();
    reset();
  }

  /**
   * Hands the memory of a complete message over to the caller, who has to release it to the budget,
   * and begins with the next message. Returns the number of bytes.
   *
   * @param keptFields how many of its header fields are kept; the memory of the others is released
   */
  public long detach(int keptFields) {
    long droppedBytes = (long) Math.max(0, fields - keptFields) * FIELD_OVERHEAD_BYTES;
    reset();
    budget.release(droppedBytes);
    return reservation.detach() - droppedBytes;
  }

  private void reset() {
    fields = 0;
    textBytes = 0;
  }
}
