package loadbalancer.model;

/**
 * A client's request.
 *
 * @param id unique within an instance
 * @param requestClass index into {@link PolicySettings#requestClasses}
 * @param tenant index into {@link PolicySettings#tenants}
 * @param key the ordering key, which ties requests about the same subject together; 0 for none
 * @param deadlineMillis when the client gives up waiting, on the clock of the events
 * @param costMillis expected work in milliseconds of a standard core; 0 if unknown
 * @param retry whether the client has marked it as a retry
 * @param write whether it changes something
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
