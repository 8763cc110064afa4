package loadbalancer;

/**
 * A request as the balancer decides on it.
 *
 * @param classIndex index of its class in {@link LoadBalancerSettings#requestClasses}
 * @param tenantIndex index of its tenant in {@link LoadBalancerSettings#tenantQuotas}
 * @param affinityKey requests with the same key are served faster by the same endpoint; null for
 *     none
 * @param expectedWorkMicros hint of its work on an endpoint of capacity weight 1; 0 for none
 * @param timeLeftMicros time until the client's deadline
 * @param isWrite whether it changes data
 * @param isRetry whether the client has sent it before
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
    /** Returns the same request with another time until the client's deadline. */
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
