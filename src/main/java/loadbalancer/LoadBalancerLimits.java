package loadbalancer;

/**
 * The limits on what a balancer may do.
 *
 * @param maxAttempts maximum number of attempts per request
 * @param isHedgingAllowed whether a request may have several attempts in flight
 * @param isProbingAllowed whether endpoints may be probed for their load
 * @param isCancellationAllowed whether attempts may be cancelled
 * @param isPeerMessagingAllowed whether balancers may send messages to one another
 * @param maxOpenRequests maximum number of requests without a final response; 0 means no limit
 * @param isRetryAfterAllowed whether a rejection may advise the client when to retry
 * @param maxRetryAfterMicros maximum of that advice that clients follow
 * @param connectTimeoutMicros timeout for establishing a connection
 * @param idleConnectionTimeoutMicros time after which an idle connection is closed
 * @param attemptsPerConnection maximum number of attempts in flight on one connection
 */
public record LoadBalancerLimits(
        int maxAttempts,
        boolean isHedgingAllowed,
        boolean isProbingAllowed,
        boolean isCancellationAllowed,
        boolean isPeerMessagingAllowed,
        int maxOpenRequests,
        boolean isRetryAfterAllowed,
        long maxRetryAfterMicros,
        long connectTimeoutMicros,
        long idleConnectionTimeoutMicros,
        int attemptsPerConnection) {}
