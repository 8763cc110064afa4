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

/** Draws valid settings of any kind, unusual ones too. */
final class ArbitrarySettings {
    private static final long MILLI = PolicyHarness.MILLI;

    private ArbitrarySettings() {}

    /** Any valid settings. */
    static Arbitrary<LoadBalancerSettings> any() {
        return Combinators.combine(
                        place(), classes(), tenants(), limits(), rules(), prices(), ways())
                .as(
                        (place, classes, tenants, limits, rules, prices, ways) ->
                                new LoadBalancerSettings(
                                        place[0] % place[1],
                                        place[1],
                                        place[2] % place[3],
                                        place[3],
                                        classes,
                                        tenants,
                                        place[4] / 4.0,
                                        ways.byWork,
                                        limits,
                                        rules,
                                        prices,
                                        ways.reports,
                                        ways.ratings,
                                        ways.ask,
                                        ways.warmKeys,
                                        ways.tick))
                .map(settings -> withTick(settings.tickMicros(), settings));
    }

    /** The same with this tick, and with a response slack of at least a tick. */
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

    /** Zone, zones, position, size of the group, and the worth over share in quarters. */
    private static Arbitrary<int[]> place() {
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
        Arbitrary<Long> aim = Arbitraries.oneOf(millis(1, 500), millis(1, 30_000));
        Arbitrary<Long> giveUp = Arbitraries.oneOf(millis(50, 1_000), millis(50, 20_000));
        return Combinators.combine(
                        aim,
                        giveUp,
                        Arbitraries.of(Idempotency.class),
                        Arbitraries.of(IdempotencyScope.class),
                        Arbitraries.oneOf(Arbitraries.just(0L), millis(0, 999), millis(0, 20_000)),
                        Arbitraries.of(0.0, 1.0, 12.0),
                        Arbitraries.of(0.0, 0.3, 1.0),
                        Arbitraries.of(0.0, 0.0, 2.0))
                .as(
                        (a, g, effect, scope, span, worth, late, stretch) ->
                                new RequestClass(
                                        "", a, stretch, g, worth, late, effect, scope, span, false))
                .list()
                .ofMinSize(1)
                .ofMaxSize(6)
                .map(ArbitrarySettings::named);
    }

    /** Names the classes; each third one streams. */
    private static List<RequestClass> named(List<RequestClass> classes) {
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

    private static Arbitrary<List<TenantQuota>> tenants() {
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
                        (most, f, open, retryAfter, connect, idle, streams) ->
                                new LoadBalancerLimits(
                                        most,
                                        f[0],
                                        f[1],
                                        f[2],
                                        f[3],
                                        open,
                                        f[4],
                                        retryAfter,
                                        connect,
                                        idle,
                                        streams));
    }

    private static Arbitrary<RuleLimits> rules() {
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
        Arbitrary<RuleLimits> odd =
                Combinators.combine(
                                millis(0, 50),
                                millis(0, 20_000),
                                Arbitraries.of(0.0, 0.3, 1.0),
                                millis(0, 30_000),
                                grace,
                                Arbitraries.of(0.0, 1.0, 4.0),
                                millis(0, 5_000))
                        .as(RuleLimits::new);
        return Arbitraries.oneOf(usual, usual, odd);
    }

    /** Whether the budget of a warming endpoint allows at least for a single request. */
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

    private record Ways(
            LoadReportSource reports,
            CapacityWeightKind ratings,
            boolean ask,
            boolean warmKeys,
            boolean byWork,
            long tick) {}

    private static Arbitrary<Ways> ways() {
        Arbitrary<Boolean> either = Arbitraries.of(false, true);
        return Combinators.combine(
                        Arbitraries.of(LoadReportSource.class),
                        Arbitraries.of(CapacityWeightKind.class),
                        either,
                        either,
                        either,
                        Arbitraries.of(0L, MILLI, 3 * MILLI, 5 * MILLI, 20 * MILLI, 50 * MILLI))
                .as(Ways::new);
    }

    private static Arbitrary<Long> millis(long from, long to) {
        return Arbitraries.longs().between(from, to).map(n -> n * MILLI);
    }
}
