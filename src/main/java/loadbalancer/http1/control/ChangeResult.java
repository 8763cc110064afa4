package loadbalancer.http1.control;

import loadbalancer.control.model.Revision;

/** The result of a change. */
public sealed interface ChangeResult {
    /**
     * The change is durable and part of the total order; it is being distributed.
     *
     * @param revision of the change
     */
    record Accepted(Revision revision) implements ChangeResult {}

    /**
     * The request can't be read as a change.
     *
     * @param reason one line with place and reason
     */
    record Unreadable(String reason) implements ChangeResult {}

    /**
     * The change can't be made to the current state.
     *
     * @param reason one line with place and reason
     */
    record Rejected(String reason) implements ChangeResult {}

    /**
     * This machine takes no change now.
     *
     * @param reason one line, with the address that takes changes where it is known
     * @param retryAfterMillis after which the client may retry
     */
    record Unavailable(String reason, long retryAfterMillis) implements ChangeResult {}
}
