package loadbalancer.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loadbalancer.LoadBalancer.Effect;
import loadbalancer.LoadBalancer.Limits;
import loadbalancer.LoadBalancer.Prices;
import loadbalancer.LoadBalancer.Ratings;
import loadbalancer.LoadBalancer.Reports;
import loadbalancer.LoadBalancer.RequestClass;
import loadbalancer.LoadBalancer.RuleFigures;
import loadbalancer.LoadBalancer.Scope;
import loadbalancer.LoadBalancer.Settings;
import loadbalancer.LoadBalancer.State;
import loadbalancer.LoadBalancer.Tenant;
import loadbalancer.LoadBalancer.Upstream;

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

    Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            classes.add(
                    new RequestClass(
                            effect.name(),
                            AIM,
                            0,
                            TIME_LEFT,
                            1 + effect.ordinal(),
                            0.5,
                            effect,
                            Scope.ZONE,
                            SECOND,
                            false));
        }
        Limits limits =
                new Limits(
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
        RuleFigures rules =
                new RuleFigures(20 * MILLI, 10 * SECOND, 0.2, 20 * SECOND, SECOND, 3, 2 * SECOND);
        Prices prices = new Prices(0.01, 0.1, 0.01, 0.01, 0.05, 0);
        List<Tenant> allowances =
                Collections.nCopies(tenants, new Tenant(ALLOWANCE, 1.0 / (1 + tenants)));
        return new Settings(
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
                Reports.IN_ANSWERS,
                Ratings.NOMINAL,
                false,
                keys,
                5 * MILLI);
    }

    List<Upstream> list() {
        List<Upstream> list = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            list.add(upstream(i, 1));
        }
        return list;
    }

    static Upstream upstream(int number, double rating) {
        return new Upstream(
                "upstream-" + number, number % ZONES, 0, number % 2, State.READY, rating, 0);
    }
}
