package loadbalancer.simulation;

/**
 * The kinds of records in a reply. All but {@link #FAULT} stand for the method of {@link
 * loadbalancer.policy.PolicyActions} with the same name.
 */
enum ActionCode {
  REJECT(0),
  CHECK_HEALTH(1),
  FAIL_REQUEST(2),
  SEND_ATTEMPT(3),
  /** The policy threw an exception, whose description is in the tail. */
  FAULT(4),
  CLOSE_IDLE_CONNECTIONS(5),
  LOG(6),
  WATCH_ENDPOINTS(7),
  CANCEL_ATTEMPT(8),
  SEND_TO_PEER(9),
  FETCH_ENDPOINTS(10),
  SCHEDULE_TIMER(11);

  private final byte code;

  ActionCode(int code) {
    this.code = (byte) code;
  }

  /** Returns the code that stands for this kind in the simulator's protocol. */
  byte code() {
    return code;
  }
}
