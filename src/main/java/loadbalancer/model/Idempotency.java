package loadbalancer.model;

/** Whether a request of a class may be sent again after an attempt that may have run. */
public enum Idempotency {
  /** The request may run any number of times. */
  IDEMPOTENT,
  /** Endpoints drop repeats with the same idempotency key, see {@link DeduplicationScope}. */
  DEDUPLICATED,
  /** The request must not run twice. */
  AT_MOST_ONCE
}
