package loadbalancer;

import java.util.List;

/**
 * The settings of a {@link LoadBalancer}.
 *
 * @param zoneIndex zone of this balancer
 * @param zoneCount number of zones
 * @param balancerIndex index of this balancer in its tier, from 0
 * @param balancerCount number of balancers in the tier
 * @param overQuotaWeightRatio fraction of its priority weight that a request beyond its tenant's
 *     quota keeps
 * @param isWeightPerWork whether the priority weight applies per unit of work instead of per
 *     request
 * @param isEndpointListOnRequest whether the endpoint list arrives only after a subscription or a
 *     fetch
 * @param hasKeyAffinity whether an endpoint serves a request faster if it recently served one with
 *     the same key
 * @param tickMicros minimum time between two events as seen by the balancer
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

    /**
     * Returns how long before a deadline the final response is due; the margin is needed because
     * timers are coarse.
     */
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
