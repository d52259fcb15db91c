package loadbalancer.model;

/**
 * A request as it arrived from a client.
 *
 * @param id unique within an instance
 * @param requestClass index into {@link PolicySettings#requestClasses}
 * @param tenant index into {@link PolicySettings#tenants}
 * @param key the ordering key, which requests about the same object share; 0 for none
 * @param deadlineMillis time at which the client stops waiting, in milliseconds on the clock of the
 *     {@code now} parameter of the policy's event methods
 * @param costMillis cost estimate: expected CPU time in milliseconds of a standard core; 0 if
 *     unknown
 * @param retry whether the client has marked it as a retry
 * @param write whether it modifies data
 */
public record ClientRequest(
    long id,
    int requestClass,
    int tenant,
    long key,
    double deadlineMillis,
    double costMillis,
    boolean retry,
    boolean write) {}
