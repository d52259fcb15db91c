package loadbalancer.model;

/** Whether a request of a class may be sent again once an attempt may have run. */
public enum Idempotency {
  /** It may run any number of times. */
  IDEMPOTENT,
  /** Endpoints drop repeats with the same idempotency key, see {@link DeduplicationScope}. */
  DEDUPLICATED,
  /** It must not run twice. */
  AT_MOST_ONCE
}
