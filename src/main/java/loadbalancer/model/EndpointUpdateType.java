package loadbalancer.model;

/**
 * The kinds of updates of the endpoint list. The order is that of the simulator's protocol, which
 * refers to them by ordinal.
 */
public enum EndpointUpdateType {
  /** Holds the endpoints that changed, and no others. */
  DELTA,
  /** Holds the whole list. */
  FULL,
  /** Holds the whole list as it was known when the instance started; it may be out of date. */
  CACHED,
  /** A call to discovery failed; holds no endpoints. */
  FAILED
}
