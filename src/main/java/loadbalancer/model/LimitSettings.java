package loadbalancer.model;

/**
 * What an instance may do.
 *
 * @param maxAttempts attempts of one request, the first included
 * @param cancellation whether a running attempt may be cancelled
 * @param parallelAttempts whether a request may have several running attempts
 * @param retryAfterAdvice whether a rejection may say when to come back
 * @param maxRetryAfterMillis the longest such advice, in milliseconds
 * @param connectTimeoutMillis how long a connection may take to come up
 * @param idleTimeoutMillis how long endpoints keep an idle connection
 */
public record LimitSettings(
    int maxAttempts,
    boolean cancellation,
    boolean parallelAttempts,
    boolean retryAfterAdvice,
    double maxRetryAfterMillis,
    double connectTimeoutMillis,
    double idleTimeoutMillis) {}
