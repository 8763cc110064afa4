package loadbalancer.schedule.agreement;

import loadbalancer.schedule.window.CalendarRevision;

/**
 * The revision in effect at an instant. Immutable.
 *
 * @param number number of the revision that the state describes; 0 if there is none
 * @param revision the revision to apply; null if weight factors are neutral
 * @param untilMicros end of validity, in microseconds of UTC, unless other members change it
 */
public record EffectiveRevision(
        State state, long number, CalendarRevision revision, long untilMicros) {
    /** The reason why a revision is in effect or not. */
    public enum State {
        /** No revision is agreed. */
        NONE,
        /** A majority of the roster voted for the revision. */
        AGREED,
        /** The revision is agreed, but its text is missing or not valid for this version. */
        TEXT_MISSING,
        /** The revision was revoked. */
        REVOKED,
        /**
         * A later revision that is due may be agreed in another part of the fleet; the old one
         * stays in effect until its lease expires.
         */
        UNCERTAIN,
        /** As {@link #UNCERTAIN}, and the lease of the old revision has expired. */
        LEASE_EXPIRED
    }

    /** Returns a copy that ends no later than {@code maxMicros}. */
    EffectiveRevision until(long maxMicros) {
        return new EffectiveRevision(state, number, revision, Math.min(untilMicros, maxMicros));
    }
}
