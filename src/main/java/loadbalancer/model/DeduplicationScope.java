package loadbalancer.model;

/** Which endpoints drop repeats of a request of a {@link Idempotency#DEDUPLICATED} class. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** The endpoints of the zone that saw the first attempt. */
  ZONE,
  /** The endpoints of the deduplication group that saw the first attempt. */
  GROUP
}
