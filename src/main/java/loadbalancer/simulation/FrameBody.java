package loadbalancer.simulation;

import loadbalancer.model.AttemptOutcome;
import loadbalancer.settings.MalformedInputException;

/**
 * The records and the tail of one frame, with checked access to their fields. Offsets count from
 * the beginning of the body; every method throws {@link MalformedInputException} for a value that
 * the protocol does not allow.
 */
final class FrameBody {

  // The codes of the protocol for the outcome of an attempt.
  private static final int OUTCOME_OK = 10;
  private static final int OUTCOME_ERROR = 20;
  private static final int OUTCOME_REJECTED = 30;
  private static final int OUTCOME_TIMEOUT = 40;
  private static final int OUTCOME_CONNECT_FAILED = 50;
  private static final int OUTCOME_RESET = 60;
  private static final int OUTCOME_CANCELLED = 70;
  private static final int OUTCOME_NOT_SENT = 80;

  private static final int MAX_LOAD_REPORT_VALUES = 4;

  private final byte[] bytes;
  private final int tailStart;

  /** Wraps a body whose tail begins at {@code tailStart}. */
  FrameBody(byte[] bytes, int tailStart) {
    this.bytes = bytes;
    this.tailStart = tailStart;
  }

  int unsignedByte(int at) {
    return LittleEndian.getByte(bytes, at);
  }

  int unsignedShort(int at) {
    return LittleEndian.getShort(bytes, at);
  }

  int signedInt(int at) {
    return LittleEndian.getInt(bytes, at);
  }

  long signedLong(int at) {
    return LittleEndian.getLong(bytes, at);
  }

  long endpointId(int at) {
    return LittleEndian.getEndpointId(bytes, at);
  }

  /** A float, finite or not. */
  float rawFloat(int at) {
    return LittleEndian.getFloat(bytes, at);
  }

  /** A finite double; {@code name} is its name in the error. */
  double finiteDouble(int at, String name) {
    double value = LittleEndian.getDouble(bytes, at);
    if (!Double.isFinite(value)) {
      throw new MalformedInputException(name + " " + value);
    }
    return value;
  }

  AttemptOutcome attemptOutcome(int at) {
    int code = unsignedByte(at);
    return switch (code) {
      case OUTCOME_OK -> AttemptOutcome.OK;
      case OUTCOME_ERROR -> AttemptOutcome.ERROR;
      case OUTCOME_REJECTED -> AttemptOutcome.REJECTED;
      case OUTCOME_TIMEOUT -> AttemptOutcome.TIMEOUT;
      case OUTCOME_CONNECT_FAILED -> AttemptOutcome.CONNECT_FAILED;
      case OUTCOME_RESET -> AttemptOutcome.RESET;
      case OUTCOME_CANCELLED -> AttemptOutcome.CANCELLED;
      case OUTCOME_NOT_SENT -> AttemptOutcome.NOT_SENT;
      default -> throw new MalformedInputException("unknown outcome " + code);
    };
  }

  /** A load report: the number of its values in one byte, then the values; null if it is empty. */
  double[] loadReport(int at) {
    int count = unsignedByte(at);
    if (count == 0) {
      return null;
    }
    if (count > MAX_LOAD_REPORT_VALUES) {
      throw new MalformedInputException("load report of " + count + " values");
    }
    double[] report = new double[count];
    for (int i = 0; i < count; i++) {
      report[i] = rawFloat(at + 1 + Float.BYTES * i);
    }
    return report;
  }

  /** The bytes in the tail that the reference at {@code at} names. */
  byte[] tailBytes(int at) {
    int start = tailStart(at, 1);
    byte[] content = new byte[tailItems(at)];
    System.arraycopy(bytes, start, content, 0, content.length);
    return content;
  }

  /**
   * Where the content of a tail reference begins, once it is known to lie inside the tail. A
   * reference is an offset in the tail and a number of items, of {@code itemBytes} each.
   */
  int tailStart(int at, int itemBytes) {
    long offset = LittleEndian.getUnsignedInt(bytes, at);
    long length = LittleEndian.getUnsignedInt(bytes, at + Integer.BYTES) * itemBytes;
    long tailLength = (long) bytes.length - tailStart;
    if (offset + length > tailLength) {
      throw new MalformedInputException(
          "offset " + offset + " with " + length + " bytes leaves the tail of " + tailLength);
    }
    return tailStart + (int) offset;
  }

  /** How many items a tail reference names. */
  int tailItems(int at) {
    return signedInt(at + Integer.BYTES);
  }
}
