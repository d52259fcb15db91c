package loadbalancer.model;

/**
 * The state of an endpoint. The order must not change: the simulator's protocol uses the ordinals.
 */
public enum EndpointState {
  /** No longer exists; listed only in an {@link EndpointUpdateType#DELTA} update. */
  REMOVED,
  /** Accepts new requests. */
  READY,
  /** Completes its requests and accepts no new ones. */
  DRAINING
}
