package loadbalancer.schedule.agreement;

import loadbalancer.schedule.window.Revision;

/**
 * The revision that counts at an instant.
 *
 * @param number of the revision that it is about; 0 if there is none
 * @param revision null where factors are neutral
 * @param until the next instant, microseconds of UTC, at which this may change without any talk
 */
public record InForce(State state, long number, Revision revision, long until) {
    /** Why. */
    public enum State {
        /** None was agreed. */
        NONE,
        /** A majority holds it. */
        AGREED,
        /** It is agreed, but its text has not come yet, or this program can't read it. */
        MISSING,
        /** It was revoked. */
        REVOKED,
        /**
         * Agreed, but one that is due since then may be agreed elsewhere: the old one holds for a
         * while.
         */
        DOUBT,
        /** The same, and the while is over. */
        EXPIRED
    }
}
