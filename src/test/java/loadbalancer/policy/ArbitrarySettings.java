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
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Generates valid settings of all kinds, including unusual ones. */
final class ArbitrarySettings {
    private static final long MILLI = PolicyHarness.MILLI;

    private ArbitrarySettings() {}

    /** Returns a generator of valid settings. */
    static Arbitrary<LoadBalancerSettings> any() {
        return Combinators.combine(
                        tierPosition(),
                        classes(),
                        tenantQuotas(),
                        limits(),
                        ruleLimits(),
                        prices(),
                        features())
                .as(
                        (tierPosition, classes, tenantQuotas, limits, rules, prices, features) ->
                                new LoadBalancerSettings(
                                        tierPosition[0] % tierPosition[1],
                                        tierPosition[1],
                                        tierPosition[2] % tierPosition[3],
                                        tierPosition[3],
                                        classes,
                                        tenantQuotas,
                                        tierPosition[4] / 4.0,
                                        features.isWeightPerWork,
                                        limits,
                                        rules,
                                        prices,
                                        features.loadReportSource,
                                        features.capacityWeightKind,
                                        features.isEndpointListOnRequest,
                                        features.hasKeyAffinity,
                                        features.tickMicros))
                .map(settings -> withTick(settings.tickMicros(), settings));
    }

    /**
     * Returns the settings with this tick, and with a final response slack of at least one tick.
     */
    static LoadBalancerSettings withTick(long tickMicros, LoadBalancerSettings settings) {
        RuleLimits given = settings.ruleLimits();
        RuleLimits rules =
                new RuleLimits(
                        Math.max(given.finalResponseSlackMicros(), Math.max(tickMicros, MILLI)),
                        given.maxListAgeMicros(),
                        given.initialCapacityRatio(),
                        given.slowStartMicros(),
                        given.drainGraceMicros(),
                        given.overloadCapacityMultiple(),
                        given.overloadWindowMicros());
        return new LoadBalancerSettings(
                settings.zoneIndex(),
                settings.zoneCount(),
                settings.balancerIndex(),
                settings.balancerCount(),
                settings.requestClasses(),
                settings.tenantQuotas(),
                settings.overQuotaWeightRatio(),
                settings.isWeightPerWork(),
                settings.limits(),
                rules,
                settings.prices(),
                settings.loadReportSource(),
                settings.capacityWeightKind(),
                settings.isEndpointListOnRequest(),
                settings.hasKeyAffinity(),
                tickMicros);
    }

    /**
     * Generates zone index, zone count, balancer index, balancer count, and the over-quota weight
     * ratio in quarters.
     */
    private static Arbitrary<int[]> tierPosition() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(1, 6),
                        Arbitraries.integers().between(0, 199),
                        Arbitraries.oneOf(
                                Arbitraries.integers().between(1, 8),
                                Arbitraries.integers().between(1, 200)),
                        Arbitraries.integers().between(0, 4))
                .as((a, b, c, d, e) -> new int[] {a, b, c, d, e});
    }

    private static Arbitrary<List<RequestClass>> classes() {
        Arbitrary<Long> objective = Arbitraries.oneOf(millis(1, 500), millis(1, 30_000));
        Arbitrary<Long> clientTimeout = Arbitraries.oneOf(millis(50, 1_000), millis(50, 20_000));
        return Combinators.combine(
                        objective,
                        clientTimeout,
                        Arbitraries.of(Idempotency.class),
                        Arbitraries.of(IdempotencyScope.class),
                        Arbitraries.oneOf(Arbitraries.just(0L), millis(0, 999), millis(0, 20_000)),
                        Arbitraries.of(0.0, 1.0, 12.0),
                        Arbitraries.of(0.0, 0.3, 1.0),
                        Arbitraries.of(0.0, 0.0, 2.0))
                .as(
                        (objectiveMicros,
                                timeoutMicros,
                                idempotency,
                                scope,
                                windowMicros,
                                weight,
                                lateRatio,
                                workMultiple) ->
                                new RequestClass(
                                        "",
                                        objectiveMicros,
                                        workMultiple,
                                        timeoutMicros,
                                        weight,
                                        lateRatio,
                                        idempotency,
                                        scope,
                                        windowMicros,
                                        false))
                .list()
                .ofMinSize(1)
                .ofMaxSize(6)
                .map(ArbitrarySettings::withNames);
    }

    /** Gives the classes names, and makes every third one streaming. */
    private static List<RequestClass> withNames(List<RequestClass> classes) {
        List<RequestClass> named = new ArrayList<>();
        for (RequestClass drawn : classes) {
            int index = named.size();
            named.add(
                    new RequestClass(
                            "c" + index,
                            drawn.latencyObjectiveMicros(),
                            drawn.objectiveWorkMultiple(),
                            drawn.clientTimeoutMicros(),
                            drawn.priorityWeight(),
                            drawn.lateResponseRatio(),
                            drawn.idempotency(),
                            drawn.idempotencyScope(),
                            drawn.idempotencyWindowMicros(),
                            index % 3 == 2));
        }
        return named;
    }

    private static Arbitrary<List<TenantQuota>> tenantQuotas() {
        return Combinators.combine(
                        Arbitraries.of(0.0, 0.5, 1.0, 50.0), Arbitraries.of(0.0, 0.3, 1.0))
                .as(TenantQuota::new)
                .list()
                .ofMaxSize(3);
    }

    private static Arbitrary<LoadBalancerLimits> limits() {
        Arbitrary<boolean[]> flags =
                Arbitraries.integers()
                        .between(0, 31)
                        .map(
                                n ->
                                        new boolean[] {
                                            (n & 1) > 0,
                                            (n & 2) > 0,
                                            (n & 4) > 0,
                                            (n & 8) > 0,
                                            (n & 16) > 0
                                        });
        return Combinators.combine(
                        Arbitraries.integers().between(1, 5),
                        flags,
                        Arbitraries.of(0, 0, 1, 20, 20_000),
                        Arbitraries.oneOf(Arbitraries.just(0L), millis(0, 5_000)),
                        millis(0, 2_000),
                        millis(0, 60_000),
                        Arbitraries.integers().between(0, 2))
                .as(
                        (maxAttempts, f, maxOpen, retryAfter, connect, idle, streams) ->
                                new LoadBalancerLimits(
                                        maxAttempts,
                                        f[0],
                                        f[1],
                                        f[2],
                                        f[3],
                                        maxOpen,
                                        f[4],
                                        retryAfter,
                                        connect,
                                        idle,
                                        streams));
    }

    private static Arbitrary<RuleLimits> ruleLimits() {
        Arbitrary<Long> grace = Arbitraries.oneOf(Arbitraries.just(0L), millis(0, 2_000));
        Arbitrary<RuleLimits> usual =
                Combinators.combine(
                                millis(0, 50),
                                millis(0, 20_000),
                                Arbitraries.of(0.05, 0.3, 0.5),
                                millis(1_000, 30_000),
                                grace,
                                Arbitraries.of(1.0, 2.5, 4.0),
                                millis(200, 5_000))
                        .as(RuleLimits::new);
        Arbitrary<RuleLimits> unusual =
                Combinators.combine(
                                millis(0, 50),
                                millis(0, 20_000),
                                Arbitraries.of(0.0, 0.3, 1.0),
                                millis(0, 30_000),
                                grace,
                                Arbitraries.of(0.0, 1.0, 4.0),
                                millis(0, 5_000))
                        .as(RuleLimits::new);
        return Arbitraries.oneOf(usual, usual, unusual);
    }

    /** Returns whether the slow-start quota allows at least a single request. */
    static boolean hasSlowStartBudget(LoadBalancerSettings settings) {
        RuleLimits rules = settings.ruleLimits();
        return rules.initialCapacityRatio() > 0
                && rules.initialCapacityRatio() < 1
                && rules.slowStartMicros() >= PolicyHarness.SECOND
                && rules.overloadCapacityMultiple() >= 1
                && rules.overloadWindowMicros() >= 200 * MILLI;
    }

    private static Arbitrary<Prices> prices() {
        Arbitrary<Double> price = Arbitraries.of(0.0, 1e-6, 0.001, 0.05, 1.0);
        return Combinators.combine(price, price, price, price, price, price).as(Prices::new);
    }

    private record Features(
            LoadReportSource loadReportSource,
            CapacityWeightKind capacityWeightKind,
            boolean isEndpointListOnRequest,
            boolean hasKeyAffinity,
            boolean isWeightPerWork,
            long tickMicros) {}

    private static Arbitrary<Features> features() {
        Arbitrary<Boolean> flag = Arbitraries.of(false, true);
        return Combinators.combine(
                        Arbitraries.of(LoadReportSource.class),
                        Arbitraries.of(CapacityWeightKind.class),
                        flag,
                        flag,
                        flag,
                        Arbitraries.of(0L, MILLI, 3 * MILLI, 5 * MILLI, 20 * MILLI, 50 * MILLI))
                .as(Features::new);
    }

    private static Arbitrary<Long> millis(long from, long to) {
        return Arbitraries.longs().between(from, to).map(n -> n * MILLI);
    }
}
