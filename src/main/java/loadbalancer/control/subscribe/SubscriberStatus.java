package loadbalancer.control.subscribe;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;

/**
 * The status of a subscriber, as of the last call to it.
 *
 * @param inForce the revision in force
 * @param digest of what is in force, in the subscriber's scope
 * @param server the server that it is connected to or connecting to; {@link #NO_SERVER} for none
 * @param phase what it does now
 * @param lastFailure one line on the last update, line or connection that failed; empty for none
 * @param millisSinceReceived since anything was last received from a server; {@link
 *     #NEVER_RECEIVED} if nothing ever was
 */
public record SubscriberStatus(
        Revision inForce,
        Digest digest,
        int server,
        SubscriberPhase phase,
        String lastFailure,
        long millisSinceReceived) {
    /** No server is connected. */
    public static final int NO_SERVER = -1;

    /** Nothing was ever received from a server. */
    public static final long NEVER_RECEIVED = -1;
}
