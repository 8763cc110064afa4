package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.CapacityWeightKind;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReportSource;
import loadbalancer.Prices;
import loadbalancer.RequestClass;
import loadbalancer.RuleLimits;
import loadbalancer.TenantQuota;

/** The settings of a policy in tests, with defaults for everything that a test does not set. */
final class TestSettings {
    int balancerCount = 1;
    int zoneCount = 3;
    boolean isHedgingAllowed;
    boolean isCancellationAllowed = true;
    boolean isProbingAllowed = true;
    boolean isPeerMessagingAllowed;
    double probePrice = 0.01;
    int balancerIndex;
    LoadReportSource loadReportSource = LoadReportSource.RESPONSES;
    CapacityWeightKind capacityWeightKind = CapacityWeightKind.NONE;
    double crossZonePrice;
    boolean isEndpointListOnRequest;
    boolean hasKeyAffinity;
    boolean isStreaming;
    long tickMicros = 5 * PolicyHarness.MILLI;
    double lateResponseRatio = 0.5;
    int maxAttempts = 4;
    long maxRetryAfterMicros;
    long drainGraceMicros = PolicyHarness.SECOND;
    List<TenantQuota> tenantQuotas = List.of();
    IdempotencyScope scope = IdempotencyScope.ZONE;

    LoadBalancerSettings settings() {
        return new LoadBalancerSettings(
                0,
                zoneCount,
                balancerIndex,
                balancerCount,
                classes(),
                tenantQuotas,
                0.2,
                true,
                limits(),
                new RuleLimits(
                        20 * PolicyHarness.MILLI,
                        10 * PolicyHarness.SECOND,
                        0.2,
                        20 * PolicyHarness.SECOND,
                        drainGraceMicros,
                        3,
                        2 * PolicyHarness.SECOND),
                new Prices(crossZonePrice, 0.1, probePrice, 0.01, 0.05, 0),
                loadReportSource,
                capacityWeightKind,
                isEndpointListOnRequest,
                hasKeyAffinity,
                tickMicros);
    }

    private List<RequestClass> classes() {
        List<RequestClass> classes = new ArrayList<>();
        for (Idempotency idempotency : Idempotency.values()) {
            classes.add(
                    new RequestClass(
                            idempotency.name(),
                            PolicyHarness.SECOND / 2,
                            0,
                            2 * PolicyHarness.SECOND,
                            1 + idempotency.ordinal(),
                            lateResponseRatio,
                            idempotency,
                            scope,
                            PolicyHarness.SECOND,
                            isStreaming));
        }
        return classes;
    }

    private LoadBalancerLimits limits() {
        return new LoadBalancerLimits(
                maxAttempts,
                isHedgingAllowed,
                isProbingAllowed,
                isCancellationAllowed,
                isPeerMessagingAllowed,
                20_000,
                maxRetryAfterMicros > 0,
                maxRetryAfterMicros,
                PolicyHarness.SECOND / 4,
                10 * PolicyHarness.SECOND,
                1);
    }
}
