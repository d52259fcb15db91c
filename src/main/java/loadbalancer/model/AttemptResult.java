package loadbalancer.model;

/**
 * How one attempt ended.
 *
 * @param requestId the request that the attempt was made for
 * @param attempt the number of the attempt among those of the request, from 0
 * @param endpointId the endpoint that it was sent to
 * @param outcome how it ended
 * @param requestClosed whether the request needs no final response any more
 * @param elapsedMillis time since the attempt was sent, in milliseconds
 * @param loadReport the endpoint's load report in the order of {@link
 *     PolicySettings#loadReportFields}, or null; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent") // created for each attempt: avoids copies and boxing
public record AttemptResult(
    long requestId,
    int attempt,
    long endpointId,
    AttemptOutcome outcome,
    boolean requestClosed,
    double elapsedMillis,
    double[] loadReport) {}
