package loadbalancer;

/**
 * The properties of a request that the policy uses.
 *
 * @param classIndex index of its class in {@link LoadBalancerSettings#requestClasses}
 * @param tenantIndex index of its tenant in {@link LoadBalancerSettings#tenantQuotas}
 * @param affinityKey key whose requests are served faster by the endpoint that served it before;
 *     null for none
 * @param expectedWorkMicros hint of its work on an endpoint of capacity weight 1; 0 for none
 * @param timeLeftMicros time until the client's deadline
 * @param isWrite whether the request changes data
 * @param isRetry whether the client has sent the request before
 */
public record RequestDescriptor(
        String id,
        int classIndex,
        int tenantIndex,
        String affinityKey,
        long expectedWorkMicros,
        long timeLeftMicros,
        boolean isWrite,
        boolean isRetry) {
    /** Returns a copy of the request with another time until the client's deadline. */
    public RequestDescriptor withTimeLeft(long newTimeLeftMicros) {
        return new RequestDescriptor(
                id,
                classIndex,
                tenantIndex,
                affinityKey,
                expectedWorkMicros,
                newTimeLeftMicros,
                isWrite,
                isRetry);
    }
}
