package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;
import loadbalancer.settings.MalformedInputException;

/**
 * The endpoint lists that the simulator has defined, by number. Endpoint updates of all instances
 * refer to them, so that a list that many instances receive is sent and decoded only once.
 */
final class EndpointLists {

  /** Size of one endpoint in the tail of a frame. */
  static final int ENTRY_BYTES = 24;

  private static final int MAX_LISTS = 16;

  // Offsets in a record that defines a list.
  private static final int LIST_NUMBER = 1;
  private static final int LIST_TAIL_REFERENCE = 3;

  // Offsets in the entry of an endpoint; its ID is at the beginning.
  private static final int ENTRY_ZONE = 6;
  private static final int ENTRY_MACHINE_TYPE = 8;
  private static final int ENTRY_GROUP = 9;
  private static final int ENTRY_STATE = 11;
  private static final int ENTRY_CAPACITY_HINT = 12;
  private static final int ENTRY_START_TIME = 16;

  private static final EndpointState[] STATES = EndpointState.values();

  private final List<List<Endpoint>> listsByNumber = new ArrayList<>();

  EndpointLists() {
    for (int i = 0; i < MAX_LISTS; i++) {
      listsByNumber.add(null);
    }
  }

  /**
   * Returns the list whose number is at an offset of a frame's body.
   *
   * @throws MalformedInputException if the number is out of range or the list has not been defined
   */
  List<Endpoint> get(FrameBody body, int offset) {
    int listNumber = listNumber(body, offset);
    List<Endpoint> list = listsByNumber.get(listNumber);
    if (list == null) {
      throw new MalformedInputException("endpoint list " + listNumber + " is not defined");
    }
    return list;
  }

  /**
   * Defines or replaces a list as the record at an offset of a frame's body says.
   *
   * @throws MalformedInputException if the record or one of the entries is malformed
   */
  void define(FrameBody body, int offset) {
    int listNumber = listNumber(body, offset + LIST_NUMBER);
    int entriesStart = body.tailItemsStart(offset + LIST_TAIL_REFERENCE, ENTRY_BYTES);
    int count = body.tailItemCount(offset + LIST_TAIL_REFERENCE);
    List<Endpoint> list = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      list.add(readEntry(body, entriesStart + i * ENTRY_BYTES, i));
    }
    listsByNumber.set(listNumber, List.copyOf(list));
  }

  private static int listNumber(FrameBody body, int offset) {
    int listNumber = body.unsignedShort(offset);
    if (listNumber >= MAX_LISTS) {
      throw new MalformedInputException(
          "endpoint list number " + listNumber + " exceeds the maximum of " + (MAX_LISTS - 1));
    }
    return listNumber;
  }

  private static Endpoint readEntry(FrameBody body, int offset, int index) {
    int stateCode = body.unsignedByte(offset + ENTRY_STATE);
    if (stateCode >= STATES.length) {
      throw new MalformedInputException(
          "endpoint list entry with index "
              + index
              + " (from 0): unknown state code "
              + stateCode
              + ", the highest is "
              + (STATES.length - 1));
    }
    float capacityHint = body.rawFloat(offset + ENTRY_CAPACITY_HINT);
    if (!Float.isFinite(capacityHint)) {
      throw new MalformedInputException(
          "endpoint list entry with index "
              + index
              + " (from 0): capacity hint is not finite: "
              + capacityHint);
    }
    return new Endpoint(
        body.endpointId(offset),
        body.unsignedShort(offset + ENTRY_ZONE),
        body.unsignedByte(offset + ENTRY_MACHINE_TYPE),
        body.unsignedShort(offset + ENTRY_GROUP),
        STATES[stateCode],
        capacityHint,
        body.finiteDouble(offset + ENTRY_START_TIME, "start time"));
  }
}
