package loadbalancer.model;

/**
 * The limits on what an instance may do.
 *
 * @param maxAttempts maximum number of attempts of a request, including the first
 * @param cancellation whether a running attempt may be cancelled
 * @param parallelAttempts whether a request may have several running attempts at a time
 * @param retryAfterAdvice whether a rejection may advise the client when to retry
 * @param maxRetryAfterMillis the longest advised time until the retry
 * @param connectTimeoutMillis timeout for establishing a connection
 * @param idleTimeoutMillis time for which endpoints keep an idle connection
 */
public record LimitSettings(
    int maxAttempts,
    boolean cancellation,
    boolean parallelAttempts,
    boolean retryAfterAdvice,
    double maxRetryAfterMillis,
    double connectTimeoutMillis,
    double idleTimeoutMillis) {}
