package loadbalancer.simulation;

import loadbalancer.model.AttemptOutcome;
import loadbalancer.settings.MalformedInputException;

/**
 * The body of a frame, which consists of records and of a tail that holds content of variable size.
 * Offsets are in bytes from the beginning of the body. Methods throw {@link
 * MalformedInputException} if a field has a value that the protocol does not allow.
 */
final class FrameBody {

  // Codes of attempt outcomes in the simulator's protocol.
  private static final int OUTCOME_OK = 10;
  private static final int OUTCOME_ERROR = 20;
  private static final int OUTCOME_REJECTED = 30;
  private static final int OUTCOME_TIMEOUT = 40;
  private static final int OUTCOME_CONNECT_FAILED = 50;
  private static final int OUTCOME_RESET = 60;
  private static final int OUTCOME_CANCELLED = 70;
  private static final int OUTCOME_NOT_SENT = 80;

  private static final int MAX_LOAD_REPORT_VALUES = 4;

  private final byte[] body;
  private final int tailStart;

  /** Wraps a body whose tail begins at an offset, after the records. */
  FrameBody(byte[] body, int tailStart) {
    this.body = body;
    this.tailStart = tailStart;
  }

  int unsignedByte(int offset) {
    return LittleEndian.getByte(body, offset);
  }

  int unsignedShort(int offset) {
    return LittleEndian.getShort(body, offset);
  }

  int signedInt(int offset) {
    return LittleEndian.getInt(body, offset);
  }

  long signedLong(int offset) {
    return LittleEndian.getLong(body, offset);
  }

  long endpointId(int offset) {
    return LittleEndian.getEndpointId(body, offset);
  }

  /** Returns a float, which may be infinite or NaN. */
  float rawFloat(int offset) {
    return LittleEndian.getFloat(body, offset);
  }

  /**
   * Returns a finite double.
   *
   * @param valueName what the value is, for the message of the exception
   */
  double finiteDouble(int offset, String valueName) {
    double value = LittleEndian.getDouble(body, offset);
    if (!Double.isFinite(value)) {
      throw new MalformedInputException(valueName + " is not finite: " + value);
    }
    return value;
  }

  AttemptOutcome attemptOutcome(int offset) {
    int outcomeCode = unsignedByte(offset);
    return switch (outcomeCode) {
      case OUTCOME_OK -> AttemptOutcome.OK;
      case OUTCOME_ERROR -> AttemptOutcome.ERROR;
      case OUTCOME_REJECTED -> AttemptOutcome.REJECTED;
      case OUTCOME_TIMEOUT -> AttemptOutcome.TIMEOUT;
      case OUTCOME_CONNECT_FAILED -> AttemptOutcome.CONNECT_FAILED;
      case OUTCOME_RESET -> AttemptOutcome.RESET;
      case OUTCOME_CANCELLED -> AttemptOutcome.CANCELLED;
      case OUTCOME_NOT_SENT -> AttemptOutcome.NOT_SENT;
      default -> throw new MalformedInputException("unknown attempt outcome " + outcomeCode);
    };
  }

  /** Reads a load report, a byte with the number of values before the values; null if empty. */
  double[] loadReport(int offset) {
    int count = unsignedByte(offset);
    if (count == 0) {
      return null;
    }
    if (count > MAX_LOAD_REPORT_VALUES) {
      throw new MalformedInputException(
          "load report has " + count + " values, over the limit of " + MAX_LOAD_REPORT_VALUES);
    }
    double[] report = new double[count];
    for (int i = 0; i < count; i++) {
      report[i] = rawFloat(offset + 1 + Float.BYTES * i);
    }
    return report;
  }

  /** Returns the bytes in the tail that the reference at an offset refers to. */
  byte[] tailBytes(int offset) {
    int contentStart = tailItemsStart(offset, 1);
    byte[] content = new byte[tailItemCount(offset)];
    System.arraycopy(body, contentStart, content, 0, content.length);
    return content;
  }

  /**
   * Returns the offset in the body at which the items of a tail reference begin, after checking
   * that they lie within the tail. A reference consists of an offset in the tail and a number of
   * items.
   *
   * @param offset offset of the reference
   * @param itemBytes size of one item
   */
  int tailItemsStart(int offset, int itemBytes) {
    long tailOffset = LittleEndian.getUnsignedInt(body, offset);
    long referencedBytes = LittleEndian.getUnsignedInt(body, offset + Integer.BYTES) * itemBytes;
    long tailSize = (long) body.length - tailStart;
    if (tailOffset + referencedBytes > tailSize) {
      throw new MalformedInputException(
          "tail reference with offset "
              + tailOffset
              + " and length "
              + referencedBytes
              + " exceeds the tail length "
              + tailSize);
    }
    return tailStart + (int) tailOffset;
  }

  /**
   * Returns how many items a tail reference refers to, unchecked: call {@link #tailItemsStart}
   * first.
   */
  int tailItemCount(int offset) {
    return signedInt(offset + Integer.BYTES);
  }
}
