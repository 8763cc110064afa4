package loadbalancer.fleet.replication;

import java.util.Set;

/**
 * The identity of this member in a {@link ReplicatedStore}.
 *
 * @param name the name of this member
 * @param roster the names of the members that may vote
 * @param incarnation a number that is probably greater than all earlier incarnations, such as the
 *     wall clock's seconds at the start; a later one that was persisted or is received overrides it
 * @param isPersistent whether the caller persists the durable state and then calls {@link
 *     Replicator#onPersisted}
 */
public record MemberIdentity(
        String name, Set<String> roster, long incarnation, boolean isPersistent) {}
