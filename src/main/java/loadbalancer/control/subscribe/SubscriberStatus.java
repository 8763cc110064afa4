package loadbalancer.control.subscribe;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;

/**
 * What a subscriber does, as of the last call to it.
 *
 * @param inForce the revision in force
 * @param digest of what is in force, in the subscriber's scope
 * @param server the server that it is connected to or connecting to; {@link #NO_SERVER} for none
 * @param phase what it does now
 * @param lastRefusal one line on the last update, line or connection that was given up; empty for
 *     none
 * @param millisSinceHeard since a server was last heard; {@link #NEVER_HEARD} if none ever was
 */
public record SubscriberStatus(
        Revision inForce,
        Digest digest,
        int server,
        SubscriberPhase phase,
        String lastRefusal,
        long millisSinceHeard) {
    /** No server is connected. */
    public static final int NO_SERVER = -1;

    /** No server was ever heard. */
    public static final long NEVER_HEARD = -1;
}
