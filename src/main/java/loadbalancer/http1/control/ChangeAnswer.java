package loadbalancer.http1.control;

import loadbalancer.control.model.Revision;

/** What became of a change. */
public sealed interface ChangeAnswer {
    /**
     * Durable and part of the total order; it is being distributed.
     *
     * @param revision of the change
     */
    record Accepted(Revision revision) implements ChangeAnswer {}

    /**
     * It can't be read as a change.
     *
     * @param reason one line with place and reason
     */
    record Unreadable(String reason) implements ChangeAnswer {}

    /**
     * It can't be made to the state as it is.
     *
     * @param reason one line with place and reason
     */
    record Refused(String reason) implements ChangeAnswer {}

    /**
     * No change is taken here now.
     *
     * @param reason one line, with the address that takes changes where it is known
     * @param retryAfterMillis when to come back
     */
    record Unavailable(String reason, long retryAfterMillis) implements ChangeAnswer {}
}
