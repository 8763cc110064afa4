package loadbalancer.control.subscribe;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;

/**
 * The status of a subscriber as of the last call to it.
 *
 * @param inForce the revision in force
 * @param digest the digest of the resources in force in the subscriber's scope
 * @param server the index of the server it is connected or connecting to; {@link #NO_SERVER} for
 *     none
 * @param phase the current phase
 * @param lastFailure one line about the last failed update, line or connection; empty for none
 * @param millisSinceReceived the milliseconds since anything was received from a server; {@link
 *     #NEVER_RECEIVED} if nothing was received yet
 */
public record SubscriberStatus(
        Revision inForce,
        Digest digest,
        int server,
        SubscriberPhase phase,
        String lastFailure,
        long millisSinceReceived) {
    /** The value of {@code server} if no subscription is open. */
    public static final int NO_SERVER = -1;

    /** The value of {@code millisSinceReceived} if nothing was received yet. */
    public static final long NEVER_RECEIVED = -1;
}
