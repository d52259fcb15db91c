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
 * Reads frames of events, hands each event to its instance of the policy, and answers every frame
 * with one reply. Not thread-safe.
 */
final class SimulationHost {

  static final int HEADER_BYTES = 16;
  static final int RECORD_BYTES = 48;

  /** A longer frame is taken for a broken stream; an array could not hold much more. */
  private static final long MAX_FRAME_BYTES = 1L << 29;

  private static final int HEADER_LENGTH = 0;
  private static final int HEADER_RECORDS = 4;
  private static final int HEADER_CLOCK = 8;

  private static final int INSTANCE = 1;
  private static final int CREATE_SEED = 5;
  private static final int CREATE_SETTINGS = 13;

  private final Function<PolicyActions, LoadBalancingPolicy> policyFactory;
  private final ActionWriter reply = new ActionWriter();

  /** Looked up by number only, never iterated. */
  private final Map<Integer, Instance> instances = new HashMap<>();

  private final EndpointLists endpointLists = new EndpointLists();

  /** The clock of the current frame, in milliseconds. */
  private double now = Double.NEGATIVE_INFINITY;

  /** The number of the current frame, for error messages. */
  private long frameNumber;

  /** An instance of the policy, and the settings against which its events are checked. */
  private record Instance(LoadBalancingPolicy policy, PolicySettings settings) {}

  /** Creates a host without instances; the factory creates the policy of each one. */
  SimulationHost(Function<PolicyActions, LoadBalancingPolicy> policyFactory) {
    this.policyFactory = policyFactory;
  }

  /**
   * Serves until the input ends between two frames.
   *
   * @throws MalformedInputException if a frame breaks the protocol; the message says which and how
   */
  void serve(InputStream in, OutputStream out) throws IOException {
    byte[] header = in.readNBytes(HEADER_BYTES);
    while (header.length > 0) {
      if (header.length < HEADER_BYTES) {
        throw malformed("input ends inside the header");
      }
      handleFrame(header, in);
      reply.writeTo(out);
      frameNumber++;
      header = in.readNBytes(HEADER_BYTES);
    }
  }

  private void handleFrame(byte[] header, InputStream in) throws IOException {
    long length = LittleEndian.getUnsignedInt(header, HEADER_LENGTH);
    long records = LittleEndian.getUnsignedInt(header, HEADER_RECORDS);
    double clock = LittleEndian.getDouble(header, HEADER_CLOCK);
    if (length > MAX_FRAME_BYTES) {
      throw malformed("length " + length + " is over the limit of " + MAX_FRAME_BYTES);
    }
    if (records * RECORD_BYTES > length) {
      throw malformed(records + " records do not fit into " + length + " bytes");
    }
    if (!Double.isFinite(clock) || clock < now) {
      throw malformed("clock " + clock + " after " + now);
    }
    now = clock;
    byte[] bytes = in.readNBytes((int) length);
    if (bytes.length < length) {
      throw malformed("input ends after " + bytes.length + " of " + length + " bytes");
    }
    handleRecords(new FrameBody(bytes, (int) records * RECORD_BYTES), (int) records);
  }

  private void handleRecords(FrameBody body, int records) {
    EventDecoder decoder = new EventDecoder(body, now, endpointLists);
    for (int i = 0; i < records; i++) {
      try {
        handleRecord(body, i * RECORD_BYTES, decoder);
      } catch (MalformedInputException e) {
        throw malformed("record " + i + ": " + e.getMessage());
      }
    }
  }

  private MalformedInputException malformed(String problem) {
    return new MalformedInputException("frame " + frameNumber + ": " + problem);
  }

  private void handleRecord(FrameBody body, int at, EventDecoder decoder) {
    EventCode code = EventCode.fromCode(body.unsignedByte(at));
    if (code == EventCode.DEFINE_ENDPOINT_LIST) {
      endpointLists.define(body, at);
      return;
    }
    int number = body.signedInt(at + INSTANCE);
    if (code == EventCode.CREATE_INSTANCE) {
      provision(number, body, at);
      return;
    }
    Instance instance = instances.get(number);
    if (instance == null) {
      throw new MalformedInputException(
          "event "
              + body.unsignedByte(at)
              + " for unknown instance "
              + Integer.toUnsignedString(number));
    }
    if (code == EventCode.REMOVE_INSTANCE) {
      instances.remove(number);
      return;
    }
    callPolicy(number, decoder.decode(code, at, instance.policy(), instance.settings()));
  }

  private void provision(int number, FrameBody body, int at) {
    byte[] text = body.tailBytes(at + CREATE_SETTINGS);
    long seed = body.signedLong(at + CREATE_SEED);
    PolicySettings settings = SettingsParser.parse(text);
    LoadBalancingPolicy policy = policyFactory.apply(reply);
    instances.put(number, new Instance(policy, settings));
    double startedAt = now;
    callPolicy(number, () -> policy.start(startedAt, settings, seed));
  }

  /** Delivers one event; an exception of the policy is reported to the simulator. */
  private void callPolicy(int number, Runnable event) {
    reply.select(number);
    try {
      event.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      reply.fault(e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }
}
