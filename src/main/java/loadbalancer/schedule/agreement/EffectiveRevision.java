package loadbalancer.schedule.agreement;

import loadbalancer.schedule.window.CalendarRevision;

/**
 * The revision in effect at an instant. Immutable.
 *
 * @param number of the revision that the state is about; 0 if there is none
 * @param revision null where factors are neutral
 * @param untilMicros microseconds of UTC until which it holds without news from others
 */
public record EffectiveRevision(
        State state, long number, CalendarRevision revision, long untilMicros) {
    /** Why it is in effect, or not. */
    public enum State {
        /** None was agreed. */
        NONE,
        /** A majority holds it. */
        AGREED,
        /** It is agreed, but its text has not arrived yet, or this version can't read it. */
        TEXT_MISSING,
        /** It was revoked. */
        REVOKED,
        /** A later one that is due may be agreed elsewhere: the old one holds for its lease. */
        UNCERTAIN,
        /** The same, and the lease has expired. */
        LEASE_EXPIRED
    }

    /** The same, until another instant at the latest. */
    EffectiveRevision until(long maxMicros) {
        return new EffectiveRevision(state, number, revision, Math.min(untilMicros, maxMicros));
    }
}
