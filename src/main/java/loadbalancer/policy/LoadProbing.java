package loadbalancer.policy;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;
import loadbalancer.policy.data.ExponentialSmoothing;
import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.PolicyState;

/** Asks upstreams for their load: those of the subset before a pick, or one now and then. */
final class LoadProbing {
    private static final long FIRST_ASK =
            5_000; // expected round trip of a probe until one was seen
    private static final double ASK_SAVED =
            10; // requests' worth of probing saved up for those held
    private static final double SMOOTH =
            0.15; // smoothing of each round trip: as an upstream's own times
    private static final int MOST_ACTIVE = 255; // beyond, one more or less no longer matters
    private static final double PROBE_POINTS = 0.003; // points that slow steady probing may cost
    private static final long PROBE_GAP =
            300_000; // no upstream is probed more often than this by it

    static void start(PolicyState b, long now) {
        b.probing.took = FIRST_ASK;
        b.probing.nextProbe = now + Jitter.around(PROBE_GAP, b.random);
    }

    /** A request has come, and pays for so much probing. */
    static void earn(PolicyState b, boolean retry) {
        double asks = b.terms.asksEach;
        b.probing.tokens = Math.min(b.probing.tokens + (retry ? 1 : asks), ASK_SAVED * asks);
    }

    /** Whether answers are still awaited that a pick needs. */
    static boolean pending(PolicyState b, long now) {
        return now < b.probing.decideAt;
    }

    /** Asks the subset for its load before a pick; those that stay silent meanwhile stand still. */
    static void ask(PolicyState b, long now) {
        if (!b.terms.asks || pending(b, now) || b.held.isEmpty()) {
            return;
        }
        boolean panic = OutlierDetection.panic(b.ups.all(), now);
        for (Endpoint up : Subsetting.candidates(b, now)) {
            long askedAt = up.probing.askedAt;
            boolean known =
                    fresh(b, up, now)
                            || askedAt > b.peers.seenAt(up) && now - askedAt < b.terms.waitTarget;
            if (!known
                    && (panic || !OutlierDetection.ejected(up, now))
                    && b.probing.tokens >= 1
                    && EndpointPicker.hasRoom(b, up, b.held.first(), now)) {
                b.probing.tokens--;
                up.probing.askedAt = now;
                b.out.probeEndpoint(up.id);
                b.probing.decideAt = now + (long) (2 * b.probing.took);
            }
        }
        if (b.probing.decideAt > now) {
            b.out.scheduleTimer("ask", b.probing.decideAt - now);
        }
    }

    /** Whether it was heard of as lately as probing can bring. */
    static boolean fresh(PolicyState b, Endpoint up, long now) {
        return now - b.peers.seenAt(up) <= 4 * b.probing.took;
    }

    /** It stands still, or probing was too dear: in a jam, blind sends crowded every upstream. */
    static boolean silent(PolicyState b, Endpoint up, long now) {
        return b.terms.asks && !fresh(b, up, now);
    }

    static void heard(PolicyState b, Endpoint up, LoadReport load, long now) {
        if (b.terms.asks && load != null && load.activeRequests() >= 0 && up.probing.asked()) {
            double foreign = Math.min(load.activeRequests(), MOST_ACTIVE) - up.inFlight.requests();
            b.peers.saw(up, Math.max(0, foreign), now);
            double took =
                    ExponentialSmoothing.into(b.probing.took, now - up.probing.askedAt, SMOOTH);
            b.probing.took = Math.max(b.settings().tickMicros(), took);
        }
    }

    /** Whether all that were asked have answered: then a pick waits no longer. */
    static boolean allHeard(PolicyState b, long now) {
        if (!b.terms.asks) {
            return false;
        }
        for (Endpoint up : Subsetting.candidates(b, now)) {
            if (b.peers.seenAt(up) < up.probing.askedAt) {
                return false;
            }
        }
        b.probing.decideAt = now;
        return true;
    }

    /**
     * A slow steady probe where reports come no other way; its rate follows from price and traffic.
     */
    static void probe(PolicyState b, long now) {
        List<Endpoint> all = b.ups.all();
        if (b.terms.asks
                || b.settings().loadReportSource() != LoadReportSource.PROBES
                || !b.settings().limits().isProbingAllowed()
                || now < b.probing.nextProbe
                || all.isEmpty()) {
            return;
        }
        double price = b.settings().prices().probe();
        double share = price > 0 ? PROBE_POINTS / price : 1;
        double perSecond =
                Math.min(share * Math.max(b.traffic.rate(), 1), all.size() * 1e6 / PROBE_GAP);
        b.probing.nextProbe = now + Jitter.around((long) (1e6 / perSecond), b.random);
        Endpoint oldest = Collections.min(all, Comparator.comparingLong(u -> u.probing.probedAt));
        oldest.probing.probedAt = now;
        b.out.probeEndpoint(oldest.id);
    }
}
