package loadbalancer;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * Draws the settings of any customer, the odd ones too; all that the check of settings lets
 * through.
 */
final class DrawnSettings {
    private static final long MILLI = Host.MILLI;

    private DrawnSettings() {}

    /** Of any customer. */
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
                .map(s -> at(s.tickMicros(), s));
    }

    /**
     * The same at that tick, where the slack of an answer is at least a tick: before, none can be
     * given.
     */
    static LoadBalancerSettings at(long tick, LoadBalancerSettings s) {
        RuleLimits r = s.ruleLimits();
        RuleLimits rules =
                new RuleLimits(
                        Math.max(r.finalResponseSlackMicros(), Math.max(tick, MILLI)),
                        r.maxListAgeMicros(),
                        r.initialCapacityRatio(),
                        r.slowStartMicros(),
                        r.drainGraceMicros(),
                        r.overloadCapacityMultiple(),
                        r.overloadWindowMicros());
        return new LoadBalancerSettings(
                s.zoneIndex(),
                s.zoneCount(),
                s.balancerIndex(),
                s.balancerCount(),
                s.requestClasses(),
                s.tenantQuotas(),
                s.overQuotaWeightRatio(),
                s.isWeightPerWork(),
                s.limits(),
                rules,
                s.prices(),
                s.loadReportSource(),
                s.capacityWeightKind(),
                s.isEndpointListPolled(),
                s.hasKeyAffinity(),
                tick);
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
                .map(DrawnSettings::named);
    }

    /** The odd ones stream. */
    private static List<RequestClass> named(List<RequestClass> classes) {
        List<RequestClass> named = new ArrayList<>();
        for (RequestClass c : classes) {
            int n = named.size();
            named.add(
                    new RequestClass(
                            "c" + n,
                            c.latencyObjectiveMicros(),
                            c.objectiveWorkMultiple(),
                            c.clientTimeoutMicros(),
                            c.priorityWeight(),
                            c.lateResponseRatio(),
                            c.idempotency(),
                            c.idempotencyScope(),
                            c.idempotencyWindowMicros(),
                            n % 3 == 2));
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

    /**
     * Whether the budget of a cold upstream is one that can be kept: of none at all, or for a
     * moment as short as a request, a single request is too much.
     */
    static boolean hasColdBudget(LoadBalancerSettings s) {
        RuleLimits r = s.ruleLimits();
        return r.initialCapacityRatio() > 0
                && r.initialCapacityRatio() < 1
                && r.slowStartMicros() >= Host.SECOND
                && r.overloadCapacityMultiple() >= 1
                && r.overloadWindowMicros() >= 200 * MILLI;
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
