package loadbalancer.simulation;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import loadbalancer.policy.PolicyActions;

/**
 * Encodes the actions that the policy instances take during one frame into the reply to that frame:
 * a header, records of fixed size, and a tail for content of variable size, to which records refer.
 * The tail holds log lines, descriptions of exceptions and messages to peers. Not thread-safe.
 */
final class ActionWriter implements PolicyActions {

  static final int HEADER_BYTES = 8;
  static final int RECORD_BYTES = 32;
  private static final int MAX_PEER_MESSAGE_BYTES = 256;
  private static final int INITIAL_RECORD_BYTES = 1 << 14;
  private static final int INITIAL_TAIL_BYTES = 1 << 10;

  /** Offset, in the header of a reply, of the number of bytes that follow the header. */
  private static final int HEADER_BODY_BYTES = 0;

  /** Offset, in the header of a reply, of the number of records. */
  private static final int HEADER_RECORD_COUNT = 4;

  /** Offset, in every record, of the instance number; it follows the one-byte action code. */
  private static final int INSTANCE_NUMBER = 1;

  /** Offset, in a record, of the action's first field. */
  private static final int FIRST_FIELD = 5;

  // Offsets of the fields that follow one or two fields of the named types.
  private static final int AFTER_INT = FIRST_FIELD + Integer.BYTES;
  private static final int AFTER_LONG = FIRST_FIELD + Long.BYTES;
  private static final int AFTER_LONG_AND_ENDPOINT = AFTER_LONG + LittleEndian.ENDPOINT_ID_BYTES;

  private byte[] records = new byte[INITIAL_RECORD_BYTES];
  private int recordBytes;
  private byte[] tail = new byte[INITIAL_TAIL_BYTES];
  private int tailBytes;
  private int recordCount;
  private int selectedInstance;

  /** Sets the instance that takes the actions added from now on. */
  void selectInstance(int instanceNumber) {
    selectedInstance = instanceNumber;
  }

  @Override
  public void reject(long requestId, double retryAfterMillis) {
    int offset = addRecord(ActionCode.REJECT);
    LittleEndian.putLong(records, offset + FIRST_FIELD, requestId);
    LittleEndian.putDouble(records, offset + AFTER_LONG, retryAfterMillis);
  }

  @Override
  public void checkHealth(long endpointId) {
    int offset = addRecord(ActionCode.CHECK_HEALTH);
    LittleEndian.putEndpointId(records, offset + FIRST_FIELD, endpointId);
  }

  @Override
  public void failRequest(long requestId) {
    int offset = addRecord(ActionCode.FAIL_REQUEST);
    LittleEndian.putLong(records, offset + FIRST_FIELD, requestId);
  }

  @Override
  public void sendAttempt(long requestId, long endpointId, double timeoutMillis) {
    int offset = addRecord(ActionCode.SEND_ATTEMPT);
    LittleEndian.putLong(records, offset + FIRST_FIELD, requestId);
    LittleEndian.putEndpointId(records, offset + AFTER_LONG, endpointId);
    LittleEndian.putDouble(records, offset + AFTER_LONG_AND_ENDPOINT, timeoutMillis);
  }

  /** Adds a record that reports an exception of the policy. */
  void fault(String text) {
    int offset = addRecord(ActionCode.FAULT);
    putTail(offset + FIRST_FIELD, text.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void closeIdleConnections(long endpointId) {
    int offset = addRecord(ActionCode.CLOSE_IDLE_CONNECTIONS);
    LittleEndian.putEndpointId(records, offset + FIRST_FIELD, endpointId);
  }

  @Override
  public void log(String text) {
    int offset = addRecord(ActionCode.LOG);
    putTail(offset + FIRST_FIELD, text.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    int offset = addRecord(ActionCode.WATCH_ENDPOINTS);
    records[offset + FIRST_FIELD] = (byte) (enabled ? 1 : 0);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    int offset = addRecord(ActionCode.CANCEL_ATTEMPT);
    LittleEndian.putLong(records, offset + FIRST_FIELD, requestId);
    LittleEndian.putShort(records, offset + AFTER_LONG, attempt);
  }

  @Override
  public void sendToPeer(int peerIndex, byte[] payload) {
    if (payload.length > MAX_PEER_MESSAGE_BYTES) {
      throw new IllegalArgumentException(
          "message of "
              + payload.length
              + " bytes to peer "
              + peerIndex
              + " exceeds the limit of "
              + MAX_PEER_MESSAGE_BYTES
              + " bytes");
    }
    int offset = addRecord(ActionCode.SEND_TO_PEER);
    LittleEndian.putInt(records, offset + FIRST_FIELD, peerIndex);
    putTail(offset + AFTER_INT, payload);
  }

  @Override
  public void fetchEndpoints() {
    addRecord(ActionCode.FETCH_ENDPOINTS);
  }

  @Override
  public void scheduleTimer(long token, double atMillis) {
    int offset = addRecord(ActionCode.SCHEDULE_TIMER);
    LittleEndian.putLong(records, offset + FIRST_FIELD, token);
    LittleEndian.putDouble(records, offset + AFTER_LONG, atMillis);
  }

  /** Writes the reply and begins the next one, which is empty. */
  void writeTo(OutputStream out) throws IOException {
    byte[] header = new byte[HEADER_BYTES];
    LittleEndian.putInt(header, HEADER_BODY_BYTES, recordBytes + tailBytes);
    LittleEndian.putInt(header, HEADER_RECORD_COUNT, recordCount);
    out.write(header);
    out.write(records, 0, recordBytes);
    out.write(tail, 0, tailBytes);
    out.flush();
    recordBytes = 0;
    tailBytes = 0;
    recordCount = 0;
  }

  /** Adds an empty record and returns its offset. May replace the array {@link #records}. */
  private int addRecord(ActionCode code) {
    int offset = recordBytes;
    if (offset + RECORD_BYTES > records.length) {
      records = Arrays.copyOf(records, records.length * 2);
    }
    Arrays.fill(records, offset, offset + RECORD_BYTES, (byte) 0);
    records[offset] = code.code();
    LittleEndian.putInt(records, offset + INSTANCE_NUMBER, selectedInstance);
    recordBytes += RECORD_BYTES;
    recordCount++;
    return offset;
  }

  /** Adds content to the tail, and a reference to it at an offset of {@link #records}. */
  private void putTail(int offset, byte[] content) {
    if (tailBytes + content.length > tail.length) {
      tail = Arrays.copyOf(tail, Math.max(tail.length * 2, tailBytes + content.length));
    }
    System.arraycopy(content, 0, tail, tailBytes, content.length);
    LittleEndian.putInt(records, offset, tailBytes);
    LittleEndian.putInt(records, offset + Integer.BYTES, content.length);
    tailBytes += content.length;
  }
}
