package loadbalancer.simulation;

import loadbalancer.settings.MalformedInputException;

/**
 * The kinds of records in a frame. Their order is that of their codes in the simulator's protocol,
 * which begin at 0.
 */
enum EventCode {
  /** Creates an instance. */
  CREATE_INSTANCE,
  /** An instance received an update of its endpoint list, or its call to discovery failed. */
  ENDPOINTS_CHANGED,
  /** A request of a client arrived. */
  REQUEST_ARRIVED,
  /** The first bytes of a streamed response arrived. */
  RESPONSE_STARTED,
  /** An attempt ended. */
  ATTEMPT_FINISHED,
  /** A client disconnected before its request was answered. */
  CLIENT_DISCONNECTED,
  /** A timer that the policy has scheduled expired. */
  TIMER_EXPIRED,
  /** A health check ended. */
  HEALTH_CHECK_COMPLETED,
  /** A message of a peer instance arrived. */
  PEER_MESSAGE_RECEIVED,
  /** Removes an instance. */
  REMOVE_INSTANCE,
  /** Defines an endpoint list, to which later updates of any instance may refer. */
  DEFINE_ENDPOINT_LIST;

  private static final EventCode[] BY_CODE = values();

  /**
   * Returns the kind of record that a code stands for.
   *
   * @throws MalformedInputException if no kind has this code
   */
  static EventCode fromCode(int code) {
    if (code >= BY_CODE.length) {
      throw new MalformedInputException("unknown event code " + code);
    }
    return BY_CODE[code];
  }
}
