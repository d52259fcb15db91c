package loadbalancer.model;

/**
 * The parameters of the platform's rules that an instance must follow.
 *
 * @param responseGraceMillis time after its deadline in which a request may still get its response
 * @param drainGraceMillis time after the notification in which a draining endpoint still accepts
 *     requests
 * @param pollIntervalMillis base of two times: of the backoff after failed calls to discovery, and
 *     of the time without contact after which a suspect endpoint list counts as stale
 * @param initialCapacity share of its full capacity that an endpoint has when it starts
 * @param warmUpMillis time in which that share grows linearly to 1
 * @param collapseMultiple multiple of its present capacity at which an endpoint that is warming up
 *     collapses under the load
 * @param keySettleMillis time for which an ordering key stays reserved after an attempt that may
 *     still be running was abandoned
 */
public record RuleSettings(
    double responseGraceMillis,
    double drainGraceMillis,
    double pollIntervalMillis,
    double initialCapacity,
    double warmUpMillis,
    double collapseMultiple,
    double keySettleMillis) {}
