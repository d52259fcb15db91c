package loadbalancer.simulation;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import loadbalancer.policy.PolicyActions;

/**
 * Collects the actions of one reply: a header, records of fixed size, and a tail that holds texts
 * and payloads. Not thread-safe.
 */
final class ActionWriter implements PolicyActions {

  static final int HEADER_BYTES = 8;
  static final int RECORD_BYTES = 32;
  private static final int MAX_PEER_MESSAGE_BYTES = 256;
  private static final int INITIAL_RECORD_BYTES = 1 << 14;
  private static final int INITIAL_TAIL_BYTES = 1 << 10;

  private static final int HEADER_LENGTH = 0;
  private static final int HEADER_RECORDS = 4;

  /** Offset of the instance's number in every record; the action's code stands before it. */
  private static final int INSTANCE = 1;

  /** Offset of an action's first field, in bytes; those of the further fields follow. */
  private static final int FIELDS = 5;

  private static final int AFTER_INT = FIELDS + Integer.BYTES;
  private static final int AFTER_LONG = FIELDS + Long.BYTES;
  private static final int AFTER_LONG_AND_ENDPOINT = AFTER_LONG + LittleEndian.ENDPOINT_ID_BYTES;

  private byte[] records = new byte[INITIAL_RECORD_BYTES];
  private int recordsLength;
  private byte[] tail = new byte[INITIAL_TAIL_BYTES];
  private int tailLength;
  private int recordCount;
  private int instance;

  /** Sets the instance whose actions follow. */
  void select(int number) {
    instance = number;
  }

  @Override
  public void reject(long requestId, double retryAfterMillis) {
    int at = addRecord(ActionCode.REJECT);
    LittleEndian.putLong(records, at + FIELDS, requestId);
    LittleEndian.putDouble(records, at + AFTER_LONG, retryAfterMillis);
  }

  @Override
  public void checkHealth(long endpointId) {
    int at = addRecord(ActionCode.CHECK_HEALTH);
    LittleEndian.putEndpointId(records, at + FIELDS, endpointId);
  }

  @Override
  public void failRequest(long requestId) {
    int at = addRecord(ActionCode.FAIL_REQUEST);
    LittleEndian.putLong(records, at + FIELDS, requestId);
  }

  @Override
  public void sendAttempt(long requestId, long endpointId, double timeoutMillis) {
    int at = addRecord(ActionCode.SEND_ATTEMPT);
    LittleEndian.putLong(records, at + FIELDS, requestId);
    LittleEndian.putEndpointId(records, at + AFTER_LONG, endpointId);
    LittleEndian.putDouble(records, at + AFTER_LONG_AND_ENDPOINT, timeoutMillis);
  }

  /** Reports that the policy failed with an exception. */
  void fault(String text) {
    int at = addRecord(ActionCode.FAULT);
    putTail(at + FIELDS, text.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void closeIdleConnections(long endpointId) {
    int at = addRecord(ActionCode.CLOSE_IDLE_CONNECTIONS);
    LittleEndian.putEndpointId(records, at + FIELDS, endpointId);
  }

  @Override
  public void log(String text) {
    int at = addRecord(ActionCode.LOG);
    putTail(at + FIELDS, text.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    int at = addRecord(ActionCode.WATCH_ENDPOINTS);
    records[at + FIELDS] = (byte) (enabled ? 1 : 0);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    int at = addRecord(ActionCode.CANCEL_ATTEMPT);
    LittleEndian.putLong(records, at + FIELDS, requestId);
    LittleEndian.putShort(records, at + AFTER_LONG, attempt);
  }

  @Override
  public void sendToPeer(int peerIndex, byte[] payload) {
    if (payload.length > MAX_PEER_MESSAGE_BYTES) {
      throw new IllegalArgumentException(
          "a peer message holds " + MAX_PEER_MESSAGE_BYTES + " bytes at most");
    }
    int at = addRecord(ActionCode.SEND_TO_PEER);
    LittleEndian.putInt(records, at + FIELDS, peerIndex);
    putTail(at + AFTER_INT, payload);
  }

  @Override
  public void fetchEndpoints() {
    addRecord(ActionCode.FETCH_ENDPOINTS);
  }

  @Override
  public void scheduleTimer(long token, double atMillis) {
    int at = addRecord(ActionCode.SCHEDULE_TIMER);
    LittleEndian.putLong(records, at + FIELDS, token);
    LittleEndian.putDouble(records, at + AFTER_LONG, atMillis);
  }

  /** Writes the reply and starts the next one. */
  void writeTo(OutputStream out) throws IOException {
    byte[] header = new byte[HEADER_BYTES];
    LittleEndian.putInt(header, HEADER_LENGTH, recordsLength + tailLength);
    LittleEndian.putInt(header, HEADER_RECORDS, recordCount);
    out.write(header);
    out.write(records, 0, recordsLength);
    out.write(tail, 0, tailLength);
    out.flush();
    recordsLength = 0;
    tailLength = 0;
    recordCount = 0;
  }

  /** Adds an empty record and returns its offset; {@link #records} may be another array then. */
  private int addRecord(ActionCode code) {
    int at = recordsLength;
    if (at + RECORD_BYTES > records.length) {
      records = Arrays.copyOf(records, records.length * 2);
    }
    Arrays.fill(records, at, at + RECORD_BYTES, (byte) 0);
    records[at] = code.code();
    LittleEndian.putInt(records, at + INSTANCE, instance);
    recordsLength += RECORD_BYTES;
    recordCount++;
    return at;
  }

  /** Adds bytes to the tail and writes the reference to them at an offset of the records. */
  private void putTail(int at, byte[] bytes) {
    if (tailLength + bytes.length > tail.length) {
      tail = Arrays.copyOf(tail, Math.max(tail.length * 2, tailLength + bytes.length));
    }
    System.arraycopy(bytes, 0, tail, tailLength, bytes.length);
    LittleEndian.putInt(records, at, tailLength);
    LittleEndian.putInt(records, at + Integer.BYTES, bytes.length);
    tailLength += bytes.length;
  }
}
