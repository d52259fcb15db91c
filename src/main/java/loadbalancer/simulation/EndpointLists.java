package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointState;
import loadbalancer.settings.MalformedInputException;

/** The numbered endpoint lists of the process, to which the events of all instances refer. */
final class EndpointLists {

  /** How many bytes one endpoint takes in the tail of a frame. */
  static final int ENTRY_BYTES = 24;

  private static final int MAX_LISTS = 16;

  private static final int LIST_NUMBER = 1;
  private static final int LIST_ENTRIES = 3;

  private static final int ENTRY_ZONE = 6;
  private static final int ENTRY_MACHINE_TYPE = 8;
  private static final int ENTRY_GROUP = 9;
  private static final int ENTRY_STATE = 11;
  private static final int ENTRY_WEIGHT = 12;
  private static final int ENTRY_START_TIME = 16;

  private static final EndpointState[] STATES = EndpointState.values();

  private final List<List<Endpoint>> lists = new ArrayList<>();

  EndpointLists() {
    for (int i = 0; i < MAX_LISTS; i++) {
      lists.add(null);
    }
  }

  /**
   * The list whose number stands at {@code at}.
   *
   * @throws MalformedInputException if the number is out of range or the list is not defined
   */
  List<Endpoint> get(FrameBody body, int at) {
    int number = listNumber(body, at);
    List<Endpoint> list = lists.get(number);
    if (list == null) {
      throw new MalformedInputException("list " + number + " was never given");
    }
    return list;
  }

  /**
   * Defines or replaces a list from the record at {@code at}.
   *
   * @throws MalformedInputException if the record or one of the entries is malformed
   */
  void define(FrameBody body, int at) {
    int number = listNumber(body, at + LIST_NUMBER);
    int start = body.tailStart(at + LIST_ENTRIES, ENTRY_BYTES);
    int count = body.tailItems(at + LIST_ENTRIES);
    List<Endpoint> list = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      list.add(readEntry(body, start + i * ENTRY_BYTES, i));
    }
    lists.set(number, List.copyOf(list));
  }

  private static int listNumber(FrameBody body, int at) {
    int number = body.unsignedShort(at);
    if (number >= MAX_LISTS) {
      throw new MalformedInputException("list number " + number + " is over " + (MAX_LISTS - 1));
    }
    return number;
  }

  private static Endpoint readEntry(FrameBody body, int at, int position) {
    int state = body.unsignedByte(at + ENTRY_STATE);
    if (state >= STATES.length) {
      throw new MalformedInputException("list entry " + position + ": unknown state " + state);
    }
    float capacityHint = body.rawFloat(at + ENTRY_WEIGHT);
    if (!Float.isFinite(capacityHint)) {
      throw new MalformedInputException(
          "list entry " + position + ": capacity hint " + capacityHint);
    }
    return new Endpoint(
        body.endpointId(at),
        body.unsignedShort(at + ENTRY_ZONE),
        body.unsignedByte(at + ENTRY_MACHINE_TYPE),
        body.unsignedShort(at + ENTRY_GROUP),
        STATES[state],
        capacityHint,
        body.finiteDouble(at + ENTRY_START_TIME, "start time"));
  }
}
