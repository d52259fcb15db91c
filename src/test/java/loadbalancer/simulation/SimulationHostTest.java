package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.SplittableRandom;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.settings.SettingsParserTest;
import org.junit.jupiter.api.Test;

/** The simulator's binary protocol, byte for byte, with valid and malformed frames. */
class SimulationHostTest {

  private static final int INSTANCE = 3;
  private static final long ENDPOINT = 0x232b_074a_120aL;

  @SuppressWarnings("ArrayRecordComponent") // compared with assertArrayEquals
  private record Run(int status, byte[] out, String err) {}

  private static Run run(byte[] input) {
    return run(input, "wire");
  }

  private static Run run(byte[] input, String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status =
        SimulationMain.run(args, new ByteArrayInputStream(input), out, new PrintStream(err, true));
    return new Run(status, out.toByteArray(), err.toString(StandardCharsets.UTF_8));
  }

  private static byte[] concat(byte[]... arrays) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    for (byte[] part : arrays) {
      joined.writeBytes(part);
    }
    return joined.toByteArray();
  }

  /** Builds a frame from records and a tail. */
  private static byte[] frame(double clockMillis, byte[] tail, byte[]... records) {
    byte[] header = new byte[SimulationHost.HEADER_BYTES];
    LittleEndian.putInt(header, 0, records.length * SimulationHost.RECORD_BYTES + tail.length);
    LittleEndian.putInt(header, 4, records.length);
    LittleEndian.putDouble(header, 8, clockMillis);
    return concat(header, concat(records), tail);
  }

  private static byte[] record(int eventCode, int instance) {
    byte[] record = new byte[SimulationHost.RECORD_BYTES];
    record[0] = (byte) eventCode;
    LittleEndian.putInt(record, 1, instance);
    return record;
  }

  /** The required settings, with one of them replaced by a {@code key=value} line unless empty. */
  private static byte[] settings(String change) {
    String settingsText = SettingsParserTest.REQUIRED_SETTINGS;
    if (!change.isEmpty()) {
      settingsText =
          settingsText.replaceAll("(?m)^" + change.split("=")[0] + "=.*\n", "") + change + "\n";
    }
    return settingsText.getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] listEntry(long endpoint) {
    byte[] listEntry = new byte[EndpointLists.ENTRY_BYTES];
    LittleEndian.putEndpointId(listEntry, 0, endpoint);
    listEntry[11] = 1;
    LittleEndian.putInt(listEntry, 12, Float.floatToIntBits(1f));
    return listEntry;
  }

  /**
   * A frame that creates an instance, defines a list of one endpoint and sends it to the instance.
   */
  private static byte[] openingFrame() {
    byte[] settingsText = settings("");
    byte[] createInstance = record(0, INSTANCE);
    LittleEndian.putLong(createInstance, 5, 42);
    LittleEndian.putInt(createInstance, 13, 0);
    LittleEndian.putInt(createInstance, 17, settingsText.length);
    byte[] list = record(10, 0);
    LittleEndian.putShort(list, 1, 0);
    LittleEndian.putInt(list, 3, settingsText.length);
    LittleEndian.putInt(list, 7, 1);
    byte[] endpointsChanged = record(1, INSTANCE);
    endpointsChanged[5] = 2;
    return frame(
        10_000, concat(settingsText, listEntry(ENDPOINT)), createInstance, list, endpointsChanged);
  }

  private static byte[] requestArrived(long id) {
    byte[] record = record(2, INSTANCE);
    LittleEndian.putLong(record, 5, id);
    LittleEndian.putDouble(record, 24, 12_000);
    return record;
  }

  private static byte[] attemptFinished(long id, int outcomeCode) {
    byte[] record = record(4, INSTANCE);
    LittleEndian.putLong(record, 5, id);
    record[13] = (byte) (outcomeCode == 10 ? 1 : 0);
    record[14] = (byte) outcomeCode;
    LittleEndian.putEndpointId(record, 15, ENDPOINT);
    LittleEndian.putDouble(record, 23, 20);
    return record;
  }

  private static void assertRejected(String message, byte[] input) {
    Run run = run(input);
    assertEquals(1, run.status, run.err);
    assertTrue(run.err.contains(message), run.err);
    assertEquals(1, run.err.strip().lines().count(), run.err);
  }

  @Test
  void emptyFrameGetsAnEmptyReply() {
    byte[] emptyFrame = HexFormat.of().parseHex("000000000000000000000000206ec040");
    Run run = run(emptyFrame);
    assertEquals(0, run.status);
    assertArrayEquals(new byte[8], run.out);
    assertEquals("", run.err);
  }

  @Test
  void requestIsSentToTheListedEndpoint() {
    Run run =
        run(concat(openingFrame(), frame(10_005, new byte[0], requestArrived(0xfa3135d3a91c4L))));
    assertEquals(0, run.status, run.err);
    byte[] replies = run.out;
    // An empty reply to the first frame, then one with a record: action code, instance, request,
    // endpoint, timeout.
    assertEquals(8 + 8 + 32, replies.length);
    assertEquals(32, LittleEndian.getInt(replies, 8));
    assertEquals(1, LittleEndian.getInt(replies, 12));
    assertEquals(
        "03" + "03000000" + "c4913a5d13a30f00" + "0a124a072b23",
        HexFormat.of().formatHex(replies, 16, 35));
    // Without latency statistics: 2 * 3 times a fifth of the latency objective of 500 ms.
    assertEquals(600, LittleEndian.getDouble(replies, 35), 1e-9);
    assertEquals("0000000000", HexFormat.of().formatHex(replies, 43, 48));
  }

  @Test
  void replyThatOutgrowsItsBufferKeepsAllRecords() {
    // More records than fit into the initial buffer of ActionWriter, which has to keep the records
    // that it already holds when it grows.
    byte[][] requests = new byte[1_500][];
    byte[][] failures = new byte[requests.length][];
    for (int i = 0; i < requests.length; i++) {
      requests[i] = requestArrived(i + 1);
      failures[i] = attemptFinished(i + 1, 80);
    }
    Run run =
        run(
            concat(
                openingFrame(),
                frame(10_005, new byte[0], requests),
                frame(10_010, new byte[0], failures)));
    assertEquals(0, run.status, run.err);
    int recordOffset = run.out.length - requests.length * ActionWriter.RECORD_BYTES;
    for (int i = 0; i < requests.length; i++) {
      assertEquals(0, run.out[recordOffset]);
      assertEquals(i + 1, LittleEndian.getLong(run.out, recordOffset + 5));
      recordOffset += ActionWriter.RECORD_BYTES;
    }
  }

  @Test
  void exceptionOfThePolicyBecomesAFaultAction() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    LoadBalancingPolicy failingPolicy =
        (LoadBalancingPolicy)
            Proxy.newProxyInstance(
                LoadBalancingPolicy.class.getClassLoader(),
                new Class<?>[] {LoadBalancingPolicy.class},
                (proxy, method, arguments) -> {
                  if (method.getName().equals("timerExpired")) {
                    throw new IllegalStateException("exception for the test");
                  }
                  return null;
                });
    SimulationHost host = new SimulationHost(actions -> failingPolicy);
    byte[] timerFrame = frame(10_001, new byte[0], record(6, INSTANCE));
    host.serve(new ByteArrayInputStream(concat(openingFrame(), timerFrame)), out);
    byte[] replies = out.toByteArray();
    assertEquals(4, replies[16]);
    assertTrue(
        new String(replies, 48, replies.length - 48, StandardCharsets.UTF_8)
            .contains("exception for the test"));
  }

  @Test
  void eventsForUnknownRequestsCauseNoActions() {
    byte[] clientDisconnected = record(5, INSTANCE);
    LittleEndian.putLong(clientDisconnected, 5, 99);
    byte[] timerExpired = record(6, INSTANCE);
    LittleEndian.putLong(timerExpired, 5, 12345);
    byte[] healthCheckCompleted = record(7, INSTANCE);
    healthCheckCompleted[11] = 10;
    byte[] responseStarted = record(3, INSTANCE);
    LittleEndian.putLong(responseStarted, 5, 98);
    byte[] peerMessage = record(8, INSTANCE);
    byte[] discoveryFailed = record(1, INSTANCE);
    discoveryFailed[5] = 3;
    byte[] requestPastDeadline = requestArrived(5);
    LittleEndian.putDouble(requestPastDeadline, 24, 9_000);
    Run run =
        run(
            concat(
                openingFrame(),
                frame(
                    10_005,
                    new byte[0],
                    clientDisconnected,
                    timerExpired,
                    healthCheckCompleted,
                    responseStarted,
                    peerMessage,
                    attemptFinished(97, 40),
                    requestPastDeadline),
                frame(10_010, new byte[0], record(9, INSTANCE))));
    assertEquals(0, run.status, run.err);
    // The only action is to reject the request whose deadline has passed.
    assertEquals(8 + 8 + 32 + 8, run.out.length);
    assertEquals(0, run.out[16]);
  }

  @Test
  void malformedFramesEndTheRunWithAMessage() {
    byte[] noTail = new byte[0];
    assertRejected("input ends after 5 of 16 header bytes", new byte[5]);
    assertRejected("input ends after 44 of ", Arrays.copyOf(openingFrame(), 60));
    byte[] tooManyRecords = new byte[SimulationHost.HEADER_BYTES];
    LittleEndian.putInt(tooManyRecords, 4, 7);
    assertRejected("7 records do not fit", tooManyRecords);
    byte[] tooLongBody = new byte[SimulationHost.HEADER_BYTES];
    LittleEndian.putInt(tooLongBody, 0, -1);
    assertRejected("body of 4294967295 bytes exceeds the limit", tooLongBody);
    assertRejected("clock NaN", frame(Double.NaN, noTail));
    assertRejected(
        "clock 1.0 ms is not finite or is before the previous frame's 2.0",
        concat(frame(2, noTail), frame(1, noTail)));
  }

  @Test
  void malformedRecordsEndTheRunWithAMessage() {
    byte[] noTail = new byte[0];
    assertRejected(
        "unknown event code 11, the highest is 10",
        concat(openingFrame(), frame(10_001, noTail, record(11, INSTANCE))));
    assertRejected(
        "unknown instance 4", concat(openingFrame(), frame(10_001, noTail, record(6, 4))));
    byte[] invalidListNumber = record(10, 0);
    LittleEndian.putShort(invalidListNumber, 1, 16);
    assertRejected(
        "endpoint list number 16 exceeds the maximum of 15", frame(1, noTail, invalidListNumber));
    byte[] undefinedList = record(1, INSTANCE);
    LittleEndian.putShort(undefinedList, 10, 5);
    assertRejected(
        "endpoint list 5 is not defined",
        concat(openingFrame(), frame(10_001, noTail, undefinedList)));
    byte[] tailReferenceOutOfRange = record(10, 0);
    LittleEndian.putInt(tailReferenceOutOfRange, 3, 4);
    LittleEndian.putInt(tailReferenceOutOfRange, 7, 1);
    assertRejected(
        "exceeds the tail length", frame(1, listEntry(ENDPOINT), tailReferenceOutOfRange));
    assertRejected(
        "unknown attempt outcome 11",
        concat(openingFrame(), frame(10_001, noTail, attemptFinished(1, 11))));
    byte[] unknownRequestClass = requestArrived(1);
    unknownRequestClass[13] = 9;
    assertRejected(
        "unknown request class 9, the settings have 2 request classes",
        concat(openingFrame(), frame(10_001, noTail, unknownRequestClass)));
  }

  @Test
  void wrongArgumentsPrintTheUsage() {
    Run run = run(new byte[0], "serve");
    assertEquals(2, run.status);
    assertTrue(run.err.startsWith("usage: "));
    assertEquals(2, run(new byte[0], new String[0]).status);
  }

  @Test
  void mutatedFramesEndInAReplyOrAOneLineMessage() throws IOException {
    byte[] validInput =
        concat(
            openingFrame(),
            frame(10_005, new byte[0], requestArrived(1), requestArrived(2)),
            frame(10_025, new byte[0], attemptFinished(1, 10), attemptFinished(2, 20)));
    SplittableRandom random = new SplittableRandom(20261128);
    int malformedCount = 0;
    for (int i = 0; i < 4_000; i++) {
      byte[] mutated = validInput.clone();
      for (int mutations = random.nextInt(1, 4); mutations > 0; mutations--) {
        mutated[random.nextInt(mutated.length)] = (byte) random.nextInt();
      }
      byte[] input =
          random.nextInt(4) == 0 ? Arrays.copyOf(mutated, random.nextInt(mutated.length)) : mutated;
      Run run = run(input);
      assertTrue(run.status == 0 || run.status == 1);
      if (run.status == 1) {
        malformedCount++;
        assertTrue(run.err.startsWith("load-balancer: "), run.err);
        assertFalse(run.err.contains("\tat "), run.err);
      } else {
        assertEquals("", run.err);
      }
    }
    assertTrue(
        malformedCount > 500, malformedCount + " of 4000 inputs rejected, expected over 500");
  }
}
