package loadbalancer.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import loadbalancer.model.PolicySettings;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicyActions;
import loadbalancer.settings.MalformedInputException;
import loadbalancer.settings.SettingsParser;

/**
 * Runs policy instances for the simulator: reads frames of events, passes each event to the
 * instance that it is addressed to, and answers every frame with one reply that holds the actions
 * of all instances. Not thread-safe.
 */
final class SimulationHost {

  static final int HEADER_BYTES = 16;
  static final int RECORD_BYTES = 48;

  /**
   * The largest accepted body of a frame. A greater length is a sign of a corrupt stream; also, a
   * Java array cannot hold much more.
   */
  private static final long MAX_BODY_BYTES = 1L << 29;

  // Offsets in the header of a frame.
  private static final int HEADER_BODY_BYTES = 0;
  private static final int HEADER_RECORD_COUNT = 4;
  private static final int HEADER_CLOCK_MILLIS = 8;

  /** Offset in every record of the instance number, after the one-byte event code. */
  private static final int INSTANCE_NUMBER = 1;

  // Offsets in a record that creates an instance.
  private static final int CREATE_SEED = 5;
  private static final int CREATE_SETTINGS = 13;

  private final Function<PolicyActions, LoadBalancingPolicy> policyFactory;
  private final ActionWriter reply = new ActionWriter();

  /** Instances by number. Never iterated, as the iteration order of a hash map is arbitrary. */
  private final Map<Integer, Instance> instances = new HashMap<>();

  private final EndpointLists endpointLists = new EndpointLists();

  /** The simulated time of the current frame, in milliseconds. */
  private double nowMillis = Double.NEGATIVE_INFINITY;

  /** The number of the current frame, from 0, for error messages. */
  private long frameNumber;

  /** An instance of the policy, and the settings that its events are validated against. */
  private record Instance(LoadBalancingPolicy policy, PolicySettings settings) {}

  /**
   * Creates a host without instances.
   *
   * @param policyFactory creates the policy of an instance, which requests its actions from the
   *     argument
   */
  SimulationHost(Function<PolicyActions, LoadBalancingPolicy> policyFactory) {
    this.policyFactory = policyFactory;
  }

  /**
   * Answers frames until the input ends between two of them.
   *
   * @throws MalformedInputException if a frame violates the protocol; the message gives the number
   *     of the frame and the reason
   */
  void serve(InputStream in, OutputStream out) throws IOException {
    byte[] header = in.readNBytes(HEADER_BYTES);
    while (header.length > 0) {
      if (header.length < HEADER_BYTES) {
        throw malformed(
            "input ends after " + header.length + " of " + HEADER_BYTES + " header bytes");
      }
      handleFrame(header, in);
      reply.writeTo(out);
      frameNumber++;
      header = in.readNBytes(HEADER_BYTES);
    }
  }

  private void handleFrame(byte[] header, InputStream in) throws IOException {
    long bodyBytes = LittleEndian.getUnsignedInt(header, HEADER_BODY_BYTES);
    long recordCount = LittleEndian.getUnsignedInt(header, HEADER_RECORD_COUNT);
    double clockMillis = LittleEndian.getDouble(header, HEADER_CLOCK_MILLIS);
    if (bodyBytes > MAX_BODY_BYTES) {
      throw malformed("body of " + bodyBytes + " bytes exceeds the limit of " + MAX_BODY_BYTES);
    }
    if (recordCount * RECORD_BYTES > bodyBytes) {
      throw malformed(recordCount + " records do not fit into a body of " + bodyBytes + " bytes");
    }
    if (!Double.isFinite(clockMillis) || clockMillis < nowMillis) {
      throw malformed(
          "clock "
              + clockMillis
              + " ms is not finite or is before the previous frame's "
              + nowMillis);
    }
    nowMillis = clockMillis;
    byte[] body = in.readNBytes((int) bodyBytes);
    if (body.length < bodyBytes) {
      throw malformed("input ends after " + body.length + " of " + bodyBytes + " body bytes");
    }
    handleRecords(new FrameBody(body, (int) recordCount * RECORD_BYTES), (int) recordCount);
  }

  private void handleRecords(FrameBody body, int recordCount) {
    EventDecoder decoder = new EventDecoder(body, nowMillis, endpointLists);
    for (int i = 0; i < recordCount; i++) {
      try {
        handleRecord(body, i * RECORD_BYTES, decoder);
      } catch (MalformedInputException e) {
        throw malformed("record " + i + ": " + e.getMessage());
      }
    }
  }

  private MalformedInputException malformed(String reason) {
    return new MalformedInputException("frame " + frameNumber + ": " + reason);
  }

  private void handleRecord(FrameBody body, int recordOffset, EventDecoder decoder) {
    EventCode code = EventCode.fromCode(body.unsignedByte(recordOffset));
    if (code == EventCode.DEFINE_ENDPOINT_LIST) {
      endpointLists.define(body, recordOffset);
      return;
    }
    int instanceNumber = body.signedInt(recordOffset + INSTANCE_NUMBER);
    if (code == EventCode.CREATE_INSTANCE) {
      createInstance(instanceNumber, body, recordOffset);
      return;
    }
    Instance instance = instances.get(instanceNumber);
    if (instance == null) {
      throw new MalformedInputException(
          "event code "
              + body.unsignedByte(recordOffset)
              + " for unknown instance "
              + Integer.toUnsignedString(instanceNumber));
    }
    if (code == EventCode.REMOVE_INSTANCE) {
      instances.remove(instanceNumber);
      return;
    }
    callPolicy(
        instanceNumber, decoder.decode(code, recordOffset, instance.policy(), instance.settings()));
  }

  private void createInstance(int instanceNumber, FrameBody body, int recordOffset) {
    byte[] settingsText = body.tailBytes(recordOffset + CREATE_SETTINGS);
    long seed = body.signedLong(recordOffset + CREATE_SEED);
    PolicySettings settings = SettingsParser.parse(settingsText);
    LoadBalancingPolicy policy = policyFactory.apply(reply);
    instances.put(instanceNumber, new Instance(policy, settings));
    double startMillis = nowMillis;
    callPolicy(instanceNumber, () -> policy.start(startMillis, settings, seed));
  }

  /** Calls the policy of an instance; an exception of the policy is reported in the reply. */
  private void callPolicy(int instanceNumber, Runnable policyCall) {
    reply.selectInstance(instanceNumber);
    try {
      policyCall.run();
    } catch (RuntimeException e) {
      StackTraceElement[] stackTrace = e.getStackTrace();
      reply.fault(e + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
    }
  }
}
