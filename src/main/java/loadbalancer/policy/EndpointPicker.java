package loadbalancer.policy;

import java.util.List;
import loadbalancer.Idempotency;
import loadbalancer.policy.data.InFlightMessage;
import loadbalancer.policy.data.WeightedDraw;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/**
 * Draws an upstream of the subset in proportion to weight / (in-flight + 1)^bias. Preferences are
 * stated in in-flight terms: one of 2 makes up for a line twice as long.
 */
final class EndpointPicker {
    private static final double TOLD_CARE = 0.8; // part of the time left that a line may take
    private static final double ASKED_CARE = 0.6; // the same where only probes tell of the line
    private static final double BIAS = 4; // of the pick: a clearly shorter line nearly always wins
    private static final double UNPROVEN =
            0.74; // preference for an upstream just back from ejection
    private static final double UNPROVEN_UNSAFE =
            0.38; // the same for a request that cannot be tried again

    /** Null if none may take it now; a pressing one asks for no room. */
    static Endpoint pick(PolicyState b, OpenRequest r, long now, boolean pressing) {
        boolean panic = OutlierDetection.panic(b.ups.all(), now);
        List<Endpoint> candidates = Subsetting.candidates(b, r, now);
        double[] scores = new double[candidates.size()];
        double sum = 0;
        for (int i = 0; i < scores.length; i++) {
            Endpoint up = candidates.get(i);
            if (!mayTake(b, up, r, now, panic)
                    || !pressing && !r.arriving && !hasRoom(b, up, r, now)) {
                continue;
            }
            double weight = UtilizationWeights.of(up) * Math.pow(preference(b, up, r, now), BIAS);
            scores[i] = weight / Math.pow(b.peers.line(up, now) + 1, BIAS);
            sum += scores[i];
        }
        int drawn = sum > 0 ? WeightedDraw.draw(scores, sum, b.random.nextDouble()) : -1;
        return drawn < 0 ? null : candidates.get(drawn);
    }

    private static double preference(PolicyState b, Endpoint up, OpenRequest r, long now) {
        double unproven =
                r.cls.idempotency() == Idempotency.NOT_IDEMPOTENT ? UNPROVEN_UNSAFE : UNPROVEN;
        return b.terms.rating(up)
                * SlowStart.warmth(b, up, now)
                * EndpointListUpdates.allowance(b, up)
                * Math.pow(1 - OutlierDetection.errors(up), 2)
                * KeyAffinity.ownZone(b, up)
                * KeyAffinity.preference(up, r)
                * (OutlierDetection.proven(up) ? 1 : unproven);
    }

    static boolean mayTake(PolicyState b, Endpoint up, OpenRequest r, long now, boolean panic) {
        return RetryEligibility.maySend(b, r, up, now)
                && (panic || !OutlierDetection.ejected(up, now))
                && !LoadProbing.silent(b, up, now)
                && SlowStart.hasRoom(b, up, r, now);
    }

    /**
     * Whether a request sent now is likely answered within its aim. Where all in flight is known,
     * that is the line before it times the pace at which this upstream's line moves; else an
     * in-flight limit of our own.
     */
    static boolean hasRoom(PolicyState b, Endpoint up, OpenRequest r, long now) {
        if (b.terms.hears()) {
            double line = b.peers.line(up, now);
            double care = b.terms.asks ? ASKED_CARE : TOLD_CARE;
            return line < 1 - 1 / InFlightMessage.UNIT_PARTS
                    || (line + b.traffic.size(r)) * b.times.pace(up) <= care * (r.aimAt - now);
        }
        double most =
                Math.max(
                        1,
                        ConcurrencyLimits.of(up)
                                * SlowStart.warmth(b, up, now)
                                * EndpointListUpdates.allowance(b, up));
        return !ConcurrencyLimits.resting(up, now)
                && up.inFlight.requests() + b.peers.of(up, now) + 1 <= most;
    }

    /** The pace at which all would be in time with the first line there is. */
    static double firstPace(long aim) {
        return TOLD_CARE * aim / ConcurrencyLimits.FIRST_TOTAL;
    }
}
