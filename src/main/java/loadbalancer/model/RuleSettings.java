package loadbalancer.model;

/**
 * The figures of the rules that an instance must keep.
 *
 * @param responseGraceMillis how long after its deadline a request may still get its response
 * @param drainGraceMillis how long after the notification a draining endpoint still accepts
 *     requests
 * @param pollIntervalMillis the base of the backoff after failed calls to discovery and of the time
 *     after which a suspect endpoint list counts as stale
 * @param initialCapacity the share of its capacity that an endpoint has when it starts
 * @param warmUpMillis the time in which that share grows evenly to 1
 * @param collapseMultiple a warming endpoint collapses at this multiple of its present capacity
 * @param keySettleMillis how long a key stays reserved after an attempt that may still run was
 *     abandoned
 */
public record RuleSettings(
    double responseGraceMillis,
    double drainGraceMillis,
    double pollIntervalMillis,
    double initialCapacity,
    double warmUpMillis,
    double collapseMultiple,
    double keySettleMillis) {}
