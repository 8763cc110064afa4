package loadbalancer.control.model;

/**
 * A request to subscribe, with the revision and digest in force at the subscriber.
 *
 * @param subscriber the name of the subscriber, unique among all subscribers
 * @param zone the zone of the subscriber; empty if unknown
 * @param scope the services to subscribe to
 * @param revision the revision in force; {@link Revision#NONE} for none, which requests a snapshot
 * @param digest the digest of the resources in force in the scope
 */
public record SubscribeRequest(
        String subscriber, String zone, Scope scope, Revision revision, Digest digest) {}
