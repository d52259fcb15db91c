package loadbalancer.simulation;

import loadbalancer.settings.MalformedInputException;

/** The kinds of records in a frame, in the order of their codes, which begin at 0. */
enum EventCode {
  /** Creates an instance. */
  CREATE_INSTANCE,
  /** An update of the endpoint list, or a failed call for one. */
  ENDPOINTS_CHANGED,
  /** A client's request arrived. */
  REQUEST_ARRIVED,
  /** The first bytes of a streamed response arrived. */
  RESPONSE_STARTED,
  /** An attempt ended. */
  ATTEMPT_FINISHED,
  /** A client gave up its request. */
  CLIENT_DISCONNECTED,
  /** A timer that the policy had scheduled expired. */
  TIMER_EXPIRED,
  /** A health check ended. */
  HEALTH_CHECK_COMPLETED,
  /** A message of a peer instance arrived. */
  PEER_MESSAGE_RECEIVED,
  /** Removes an instance. */
  REMOVE_INSTANCE,
  /** Defines an endpoint list, to which later records of any instance refer. */
  DEFINE_ENDPOINT_LIST;

  private static final EventCode[] BY_CODE = values();

  /**
   * The kind of record with a code of the protocol.
   *
   * @throws MalformedInputException if there is none
   */
  static EventCode fromCode(int code) {
    if (code >= BY_CODE.length) {
      throw new MalformedInputException("unknown event code " + code);
    }
    return BY_CODE[code];
  }
}
