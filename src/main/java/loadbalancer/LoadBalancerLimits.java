package loadbalancer;

/**
 * What a balancer is allowed to do.
 *
 * @param maxAttempts attempts of one request
 * @param isHedgingAllowed whether a request may have several attempts in flight
 * @param isProbingAllowed whether endpoints may be asked for their load
 * @param isCancellationAllowed whether attempts may be cancelled
 * @param isPeerMessagingAllowed whether balancers may send messages to one another
 * @param maxOpenRequests requests without a final response; 0 means no limit
 * @param isRetryAfterAllowed whether a rejection may tell the client when to come back
 * @param maxRetryAfterMicros longest advice of that kind that a client follows
 * @param connectTimeoutMicros time to establish a connection
 * @param idleConnectionTimeoutMicros after which an idle connection is closed
 * @param attemptsPerConnection attempts in flight on one connection
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
