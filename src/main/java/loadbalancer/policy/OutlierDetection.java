package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OutlierState;
import loadbalancer.policy.state.PolicyState;

/** Who is ejected, for how long, and when so many are that it counts no more. */
final class OutlierDetection {
    private static final double HANG_TIMES =
            6; // typical answer times without an answer that mean it hangs
    private static final long FIRST_EJECTION = 1_000_000,
            LONGEST_EJECTION = 8_000_000; // doubled each time
    private static final double PANIC =
            0.4; // panic threshold: with fewer left, ejections are ignored
    private static final double SMOOTH =
            0.15; // smoothing of each outcome into an upstream's errors
    private static final double MOST_ERRORS = 0.5; // beyond, more fail there than are served

    static void begin(Endpoint up) {
        up.health.ejection = FIRST_EJECTION;
    }

    static void eject(Endpoint up, long now) {
        OutlierState h = up.health;
        if (h.ejectedUntil <= now) {
            h.ejectedUntil = now + h.ejection;
            h.ejection = Math.min(LONGEST_EJECTION, h.ejection * 2);
        }
    }

    /** One that comes back gets one request at a time until it has answered. */
    static boolean ejected(Endpoint up, long now) {
        return up.health.ejectedUntil > now || !proven(up) && up.inFlight.requests() > 0;
    }

    /** Whether it has answered since it was last ejected. */
    static boolean proven(Endpoint up) {
        return up.health.ejection <= FIRST_EJECTION;
    }

    static boolean panic(List<Endpoint> ups, long now) {
        int left = 0;
        for (Endpoint up : ups) {
            left += ejected(up, now) ? 0 : 1;
        }
        return left < PANIC * ups.size();
    }

    /** How many get nothing at present, since they are ejected. */
    static int shutOut(List<Endpoint> ups, long now) {
        return panic(ups, now)
                ? 0
                : (int) ups.stream().filter(u -> u.health.ejectedUntil > now).count();
    }

    /** Ejects those that have work and give no sign. */
    static void checkHanging(PolicyState b, long now) {
        for (Endpoint up : b.ups.all()) {
            long quiet = now - up.health.progressAt;
            double expected =
                    HANG_TIMES * Math.max(b.times.usual(up), b.terms.waitTarget)
                            + up.inFlight.work() * Math.max(1, b.times.least(up));
            if (!up.health.hanging && up.inFlight.requests() > 0 && quiet > expected) {
                up.health.hanging = true;
                eject(up, now);
            }
        }
    }

    /** A request goes there; its silence counts from the first of them. */
    static void sent(Endpoint up, long now) {
        up.health.progressAt = up.inFlight.requests() == 0 ? now : up.health.progressAt;
    }

    static void served(Endpoint up, long now) {
        OutlierState h = up.health;
        h.progressAt = now;
        h.answeredAt = now;
        h.hanging = false;
        h.ejectedUntil = 0;
        h.ejection = FIRST_EJECTION;
        h.errors *= 1 - SMOOTH;
    }

    static void erred(Endpoint up, long now) {
        up.health.progressAt = now;
        up.health.errors += SMOOTH * (1 - up.health.errors);
        if (up.health.errors > MOST_ERRORS) {
            eject(up, now);
        }
    }

    /** If nothing answered since that was sent: dead, not a full table of connections. */
    static void unreachable(Endpoint up, long sentAt, long now) {
        if (up.health.answeredAt < sentAt) {
            eject(up, now);
        }
    }

    /** The share of errors lately. */
    static double errors(Endpoint up) {
        return up.health.errors;
    }
}
