package loadbalancer;

import java.util.List;

/**
 * The settings of a {@link LoadBalancer}.
 *
 * @param zoneIndex zone of this balancer
 * @param balancerIndex index of this balancer among those of the tier
 * @param balancerCount balancers of the tier
 * @param overQuotaWeightRatio part of its priority weight that a request beyond its tenant's quota
 *     has
 * @param isWeightPerWork whether the priority weight counts for each unit of work instead of for
 *     each request
 * @param isEndpointListOnRequest whether the endpoint list arrives only after a subscription or a
 *     fetch
 * @param hasKeyAffinity whether an endpoint serves a request faster if it lately served one with
 *     the same key
 * @param tickMicros least time between two events that the balancer sees
 */
public record LoadBalancerSettings(
        int zoneIndex,
        int zoneCount,
        int balancerIndex,
        int balancerCount,
        List<RequestClass> requestClasses,
        List<TenantQuota> tenantQuotas,
        double overQuotaWeightRatio,
        boolean isWeightPerWork,
        LoadBalancerLimits limits,
        RuleLimits ruleLimits,
        Prices prices,
        LoadReportSource loadReportSource,
        CapacityWeightKind capacityWeightKind,
        boolean isEndpointListOnRequest,
        boolean hasKeyAffinity,
        long tickMicros) {
    private static final long MIN_TICK_MICROS = 1_000;
    private static final int SAFETY_TICKS = 3;

    /** Returns how long before a deadline it counts as reached, since timers are coarse. */
    public long deadlineMarginMicros() {
        return SAFETY_TICKS * Math.max(tickMicros, MIN_TICK_MICROS);
    }

    /** Returns the same settings for a balancer without peers. */
    public LoadBalancerSettings withoutPeers() {
        return new LoadBalancerSettings(
                zoneIndex,
                zoneCount,
                0,
                1,
                requestClasses,
                tenantQuotas,
                overQuotaWeightRatio,
                isWeightPerWork,
                limits,
                ruleLimits,
                prices,
                loadReportSource,
                capacityWeightKind,
                isEndpointListOnRequest,
                hasKeyAffinity,
                tickMicros);
    }
}
