package loadbalancer.fleet.replication;

import java.util.Set;

/**
 * The identity of this member in a {@link ReplicatedStore}.
 *
 * @param name this member's
 * @param roster the names that may vote
 * @param incarnation greater than the earlier ones as far as is known, such as the wall clock's
 *     seconds at the start; a later one that was persisted or is received wins
 * @param isPersistent whether the durable state is persisted and {@link Replicator#onPersisted} is
 *     called
 */
public record MemberIdentity(
        String name, Set<String> roster, long incarnation, boolean isPersistent) {}
