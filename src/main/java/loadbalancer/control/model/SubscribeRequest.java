package loadbalancer.control.model;

/**
 * What a subscriber asks for, and what it holds already.
 *
 * @param subscriber its name, unique among all subscribers
 * @param zone where it stands; empty if unknown
 * @param scope the services that it wants
 * @param held the revision in force there; {@link Revision#NONE} for nothing, which asks for a
 *     snapshot
 * @param digest of what it holds in that scope
 */
public record SubscribeRequest(
        String subscriber, String zone, Scope scope, Revision held, Digest digest) {}
