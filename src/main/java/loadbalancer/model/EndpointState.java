package loadbalancer.model;

/**
 * The state of an endpoint. The order is that of the simulator's protocol, which refers to them by
 * ordinal.
 */
public enum EndpointState {
  /** No longer exists; listed only in an {@link EndpointUpdateType#DELTA} update. */
  REMOVED,
  /** Accepts new requests. */
  READY,
  /** Finishes its requests and accepts no new ones. */
  DRAINING
}
