package loadbalancer.policy.state;

import java.util.List;
import loadbalancer.TenantQuota;
import loadbalancer.policy.data.TokenBucket;

/**
 * The remaining quota of each tenant at this balancer, in token buckets that hold one second of
 * requests.
 */
public final class TenantQuotas {
    private static final double MICROS_PER_SECOND = 1e6;

    private List<TenantQuota> tenants = List.of();
    private TokenBucket[] buckets = {};
    private int balancerCount;

    /** Replaces the tenants. Buckets keep their tokens unless the number of tenants changes. */
    public void update(List<TenantQuota> newTenants, int newBalancerCount) {
        tenants = newTenants;
        balancerCount = newBalancerCount;
        if (buckets.length != newTenants.size()) {
            buckets = new TokenBucket[newTenants.size()];
            for (int i = 0; i < buckets.length; i++) {
                buckets[i] = new TokenBucket();
            }
        }
    }

    /**
     * Takes one request from the tenant's quota at this balancer, which is an equal part of the
     * quota over all balancers. Returns false if nothing is left; always true for a tenant without
     * a quota.
     */
    public boolean tryAcquire(int tenant, long nowMicros) {
        if (tenant < 0
                || tenant >= buckets.length
                || tenants.get(tenant).requestsPerSecond() <= 0) {
            return true;
        }
        double perSecond = tenants.get(tenant).requestsPerSecond() / balancerCount;
        TokenBucket bucket = buckets[tenant];
        bucket.refill(
                perSecond * bucket.microsSinceRefill(nowMicros) / MICROS_PER_SECOND,
                Math.max(perSecond, 1),
                nowMicros);
        if (bucket.tokens() < 1) {
            return false;
        }
        bucket.spend(1);
        return true;
    }
}
