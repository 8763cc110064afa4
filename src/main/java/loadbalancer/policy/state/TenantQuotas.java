package loadbalancer.policy.state;

import java.util.List;
import loadbalancer.TenantQuota;
import loadbalancer.policy.data.TokenBucket;

/** What tenants have left of their allowances here. */
public final class TenantQuotas {
    private List<TenantQuota> tenants = List.of();
    private TokenBucket[] buckets = {};
    private int groupSize;

    /** These from now on. What they have left stays theirs unless their number is another. */
    public void take(List<TenantQuota> next, int group) {
        tenants = next;
        groupSize = group;
        if (buckets.length != next.size()) {
            buckets = new TokenBucket[next.size()];
            for (int i = 0; i < buckets.length; i++) {
                buckets[i] = new TokenBucket();
            }
        }
    }

    /**
     * Counts a request, and says if it is within our part of the allowance, a bucket of one second.
     */
    public boolean within(int tenant, long now) {
        if (tenant < 0
                || tenant >= buckets.length
                || tenants.get(tenant).requestsPerSecond() <= 0) {
            return true;
        }
        double rate = tenants.get(tenant).requestsPerSecond() / groupSize;
        TokenBucket bucket = buckets[tenant];
        bucket.fill(rate * bucket.since(now) / 1e6, Math.max(rate, 1), now);
        if (bucket.tokens() < 1) {
            return false;
        }
        bucket.spend(1);
        return true;
    }
}
