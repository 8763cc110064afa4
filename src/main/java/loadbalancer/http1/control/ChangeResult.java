package loadbalancer.http1.control;

import loadbalancer.control.model.Revision;

/** The result of a submitted change. */
public sealed interface ChangeResult {
    /**
     * The change is durable, has its place in the total order and is being distributed.
     *
     * @param revision the revision of the change
     */
    record Accepted(Revision revision) implements ChangeResult {}

    /**
     * The request could not be parsed as a change.
     *
     * @param reason one line that names the invalid part and the reason
     */
    record Unreadable(String reason) implements ChangeResult {}

    /**
     * The change is not valid for the current state.
     *
     * @param reason one line that names the invalid part and the reason
     */
    record Rejected(String reason) implements ChangeResult {}

    /**
     * This control server can't accept changes now.
     *
     * @param reason one line, with the address of the server that accepts changes if it is known
     * @param retryAfterMillis the delay after which the client may retry
     */
    record Unavailable(String reason, long retryAfterMillis) implements ChangeResult {}
}
