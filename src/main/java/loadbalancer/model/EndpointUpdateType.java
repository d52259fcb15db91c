package loadbalancer.model;

/**
 * The type of an endpoint list update. The order must not change: the simulator's protocol uses the
 * ordinals.
 */
public enum EndpointUpdateType {
  /** Contains only the endpoints that have changed. */
  DELTA,
  /** Contains the whole list. */
  FULL,
  /** Contains the whole list as known when the instance started; it may be out of date. */
  CACHED,
  /** A call to discovery failed; contains no endpoints. */
  FAILED
}
