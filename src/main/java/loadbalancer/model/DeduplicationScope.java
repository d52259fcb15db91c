package loadbalancer.model;

/** The endpoints that drop repeats of a request of a {@link Idempotency#DEDUPLICATED} class. */
public enum DeduplicationScope {
  /** All endpoints. */
  ALL,
  /** The endpoints in the zone of the endpoint that received the first attempt. */
  ZONE,
  /** The endpoints in the deduplication group of the one that received the first attempt. */
  GROUP
}
