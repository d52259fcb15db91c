package loadbalancer.model;

/**
 * The end of one attempt.
 *
 * @param requestId the request that it was made for
 * @param attempt its number among the attempts of that request, from 0
 * @param endpointId where it was sent
 * @param outcome how it ended
 * @param requestClosed whether the request is over; otherwise it is still owed its final response
 * @param elapsedMillis time since the attempt was sent, in milliseconds
 * @param loadReport the endpoint's load report in the order of {@link
 *     PolicySettings#loadReportFields}, or null; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent") // one for each attempt: no copy, no boxing
public record AttemptResult(
    long requestId,
    int attempt,
    long endpointId,
    AttemptOutcome outcome,
    boolean requestClosed,
    double elapsedMillis,
    double[] loadReport) {}
