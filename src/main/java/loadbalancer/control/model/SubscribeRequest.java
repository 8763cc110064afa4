package loadbalancer.control.model;

/**
 * A request to subscribe, with the state that the subscriber has in force.
 *
 * @param subscriber its name, unique among all subscribers
 * @param zone of the subscriber; empty if unknown
 * @param scope the services that it wants
 * @param revision in force there; {@link Revision#NONE} for none, which requests a snapshot
 * @param digest of the resources in force in that scope
 */
public record SubscribeRequest(
        String subscriber, String zone, Scope scope, Revision revision, Digest digest) {}
