package loadbalancer.policy;

import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.ConcurrencyLimitState;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.PolicyState;

/**
 * The in-flight limit: additive increase, multiplicative decrease on the waiting seen at an
 * upstream. It decides where nothing tells what others have in flight.
 */
final class ConcurrencyLimits {
    static final double FIRST_TOTAL = 3; // in flight by all before anything is known: a short line
    private static final double MIN_LIMIT = 0.05; // lower bound of our own in-flight limit
    private static final double REST_LIMIT =
            0.15; // of many, a limit so low means that one each is a crowd
    private static final long REST =
            4_000_000; // mean time left alone then: a crowded one needs some seconds
    private static final double LIMIT_CUT = 0.8,
            DEEPEST_CUT = 0.4; // least and most cut on too long a wait
    private static final double FULL_CUT = 0.7; // cut on a rejection: a full queue is plain
    private static final double LIMIT_STEP = 0.3; // step up for a round of answers in time

    /** The limit where nothing is known. */
    static double first(PolicyState b) {
        return Math.max(MIN_LIMIT, FIRST_TOTAL / b.settings().balancerCount());
    }

    static void begin(PolicyState b, Endpoint up) {
        up.limit.limit = first(b);
    }

    static double of(Endpoint up) {
        return up.limit.limit;
    }

    static boolean resting(Endpoint up, long now) {
        return up.limit.restUntil > now;
    }

    /**
     * Only answers move it, with one cut at most for each round of sends, or one slow one would
     * close it.
     */
    static void adjust(PolicyState b, Endpoint up, Attempt t, double wait, long aim, long now) {
        ConcurrencyLimitState l = up.limit;
        double target = b.terms.waitShare * aim;
        if (wait > target) {
            if (t.sentAt >= l.cutAt) {
                double cut = Math.max(DEEPEST_CUT, Math.min(LIMIT_CUT, target / wait));
                l.limit = Math.max(MIN_LIMIT, l.limit * cut);
                l.cutAt = now;
            }
        } else if (t.limited && !UtilizationWeights.busy(up, now)) {
            l.limit += LIMIT_STEP * Math.min(l.limit, 1 / l.limit);
        }
    }

    static void rejected(Endpoint up) {
        double held = Math.min(up.limit.limit, up.inFlight.requests() + 1);
        up.limit.limit = Math.max(MIN_LIMIT, held * FULL_CUT);
    }

    /**
     * One in flight is the least that a limit allows, and from many balancers that is a crowd. An
     * upstream that is slow by its crowd gets well only when nearly idle, so whoever finds that
     * leaves it alone for a while, each for a time of its own, and starts anew with little.
     */
    static void restIfCrowded(PolicyState b, Endpoint up, long now) {
        if (up.limit.limit < REST_LIMIT
                && b.settings().balancerCount() > DerivedSettings.FEW
                && !b.terms.hears()) {
            up.limit.restUntil = now + Jitter.around(REST, b.random);
            up.limit.limit = 1.5 * REST_LIMIT;
        }
    }
}
