package loadbalancer.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loadbalancer.CapacityWeightKind;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReportSource;
import loadbalancer.Prices;
import loadbalancer.RequestClass;
import loadbalancer.RuleLimits;
import loadbalancer.TenantQuota;

/**
 * What a measured module is set up with. Load reports come within answers, nothing tells what other
 * balancers have in flight, there are five zones and three classes.
 *
 * @param group balancers in the group
 * @param upstreams in the list
 * @param tenants with an allowance
 * @param keys whether requests have keys, and upstreams save work on keys that they know
 */
record ModuleSetup(int group, int upstreams, int tenants, boolean keys) {
    static final long MILLI = 1_000;
    static final long SECOND = 1_000_000;

    /** So long clients wait for an answer. */
    static final long TIME_LEFT = 2 * SECOND;

    private static final int ZONES = 5;
    private static final long AIM = SECOND / 2;
    private static final double ALLOWANCE = 100;

    ModuleSetup withTenants(int count) {
        return new ModuleSetup(group, upstreams, count, keys);
    }

    LoadBalancerSettings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (Idempotency effect : Idempotency.values()) {
            classes.add(
                    new RequestClass(
                            effect.name(),
                            AIM,
                            0,
                            TIME_LEFT,
                            1 + effect.ordinal(),
                            0.5,
                            effect,
                            IdempotencyScope.ZONE,
                            SECOND,
                            false));
        }
        LoadBalancerLimits limits =
                new LoadBalancerLimits(
                        4,
                        false,
                        false,
                        true,
                        false,
                        20_000,
                        true,
                        2 * SECOND,
                        SECOND / 4,
                        10 * SECOND,
                        1);
        RuleLimits rules =
                new RuleLimits(20 * MILLI, 10 * SECOND, 0.2, 20 * SECOND, SECOND, 3, 2 * SECOND);
        Prices prices = new Prices(0.01, 0.1, 0.01, 0.01, 0.05, 0);
        List<TenantQuota> allowances =
                Collections.nCopies(tenants, new TenantQuota(ALLOWANCE, 1.0 / (1 + tenants)));
        return new LoadBalancerSettings(
                0,
                ZONES,
                0,
                group,
                classes,
                allowances,
                0.2,
                true,
                limits,
                rules,
                prices,
                LoadReportSource.RESPONSES,
                CapacityWeightKind.NOMINAL,
                false,
                keys,
                5 * MILLI);
    }

    List<EndpointDescriptor> list() {
        List<EndpointDescriptor> list = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            list.add(upstream(i, 1));
        }
        return list;
    }

    static EndpointDescriptor upstream(int number, double rating) {
        return new EndpointDescriptor(
                "upstream-" + number,
                number % ZONES,
                0,
                number % 2,
                EndpointState.READY,
                rating,
                0);
    }
}
