package loadbalancer.policy;

import loadbalancer.RuleLimits;
import loadbalancer.policy.data.TokenBucket;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;
import loadbalancer.policy.state.SlowStartState;

/** What an upstream may get that has just started. */
final class SlowStart {
    private static final double COLD_CARE =
            0.2; // of our share of a cold upstream's budget: much is unseen
    private static final double COLD_COST =
            1.2; // least bucket for a cold upstream, in mean requests
    private static final double FLOOR =
            2; // requests in a window, by all: the rule allows 3 at any N
    private static final double RATE_SHARE =
            0.08; // smoothing of each period's work: some seconds count

    /**
     * The bucket starts at random, or all would have saved up for a first request at the same
     * moment.
     */
    static void begin(PolicyState b, Endpoint up, long now) {
        up.cold.bucket.start(b.traffic.meanCost() * (2 * b.random.nextDouble() - 1), now);
    }

    static void recall(PolicyState b, double warmRate) {
        b.cold.warmRate = warmRate;
    }

    /** The share of its capacity that an upstream has by its age. */
    static double warmth(PolicyState b, Endpoint up, long now) {
        RuleLimits f = b.settings().ruleLimits();
        if (up.startedAt() <= now - f.slowStartMicros()) {
            return 1;
        }
        double age = Math.max(0, now - up.startedAt());
        return f.initialCapacityRatio()
                + (1 - f.initialCapacityRatio()) * age / f.slowStartMicros();
    }

    /**
     * A cold upstream takes fallMultiple times its capacity at most. Our part is that multiple of
     * what a warm upstream does for us: over all balancers this sums to the capacity, however
     * unevenly traffic is spread. Work that was sent and turned away does not count, or a storm of
     * rejections would swell the budget. What the rule allows at the least holds also where no warm
     * one has been seen.
     */
    static boolean hasRoom(PolicyState b, Endpoint up, OpenRequest r, long now) {
        double warmth = warmth(b, up, now);
        if (warmth >= 1 || b.terms.hears() && up.inFlight.requests() + b.peers.of(up, now) >= 1) {
            return warmth >= 1;
        }
        RuleLimits f = b.settings().ruleLimits();
        double rate =
                COLD_CARE
                        * f.overloadCapacityMultiple()
                        * warmth
                        * b.cold.warmRate
                        * b.terms.rating(up)
                        / (b.beside ? 2 : 1);
        rate =
                Math.max(
                        rate,
                        FLOOR
                                * b.traffic.meanCost()
                                / f.overloadWindowMicros()
                                / b.settings().balancerCount()
                                / (b.beside ? 2 : 1));
        double most = Math.max(rate * f.overloadWindowMicros(), COLD_COST * b.traffic.meanCost());
        TokenBucket bucket = up.cold.bucket;
        bucket.fill(rate * bucket.since(now), most, now);
        return bucket.tokens() >= charge(b, r);
    }

    static void spend(PolicyState b, Endpoint up, OpenRequest r) {
        up.cold.bucket.spend(charge(b, r));
    }

    /** For one that was never sent. */
    static void giveBack(PolicyState b, Endpoint up, OpenRequest r) {
        up.cold.bucket.spend(-charge(b, r));
    }

    /**
     * At least a mean request: those with hints small enough for the bucket are dearer than they
     * say.
     */
    private static double charge(PolicyState b, OpenRequest r) {
        return Math.max(r.cost, b.traffic.meanCost());
    }

    /**
     * Where no warm upstream has been seen, a place that a cold one has served may be taken again:
     * what comes in no faster than it is done can't be more than its capacity.
     */
    static void served(PolicyState b, Endpoint up, OpenRequest r, long now) {
        up.cold.doneWork += r.cost;
        if (b.cold.warmRate <= 0 && warmth(b, up, now) < 1) {
            giveBack(b, up, r);
        }
    }

    /** What each of the subset did in the last period, and so what a warm one does for us. */
    static void measure(PolicyState b, long now, long period) {
        double sum = 0, size = 0;
        for (Endpoint up : Subsetting.all(b)) {
            SlowStartState c = up.cold;
            c.doneRate += RATE_SHARE * (c.doneWork / period - c.doneRate);
            c.doneWork = 0;
            if (warmth(b, up, now) >= 1) {
                sum += c.doneRate;
                size += b.terms.rating(up);
            }
        }
        b.cold.warmRate = size > 0 ? sum / size : b.cold.warmRate;
    }
}
