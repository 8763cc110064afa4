package loadbalancer.fleet.replication;

import static loadbalancer.fleet.replication.StoreFixture.BODY;
import static loadbalancer.fleet.replication.StoreFixture.FLEET_SIZE;
import static loadbalancer.fleet.replication.StoreFixture.OTHER_BODY;
import static loadbalancer.fleet.replication.StoreFixture.SECOND;
import static loadbalancer.fleet.replication.StoreFixture.TOPIC;
import static loadbalancer.fleet.replication.StoreFixture.document;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import loadbalancer.fleet.FixedMembership;
import org.junit.jupiter.api.Test;

/** Tests which votes count, and from when to when. */
class RevisionQuorumTest {
    private final FixedMembership membership = new FixedMembership("m0", FLEET_SIZE);
    private final ReplicatedStore store =
            new ReplicatedStore(
                    0,
                    new MemberIdentity("m0", FixedMembership.names(FLEET_SIZE), 1, false),
                    membership,
                    StoreFixture.emptyState(0),
                    line -> {});
    private final long lease = store.leaseMicros();
    private final RevisionQuorum quorum = new RevisionQuorum(store, TOPIC, lease, SECOND);

    private void receiveVote(long now, String member, long version, byte[] digest) {
        store.replicator().receive(now, document(member, 1, version, digest));
    }

    @Test
    void countsEachRosterMemberOnceWhileItsVoteIsSettledAndItsLeaseValid() {
        assertTrue(quorum.vote(0, BODY));
        for (int version = 1; version < 9; version++) {
            receiveVote(0, "m1", version, BODY);
            receiveVote(0, "m2", version, OTHER_BODY);
            receiveVote(0, "stranger", version, BODY);
        }
        quorum.refresh(0);
        assertEquals(Set.of("m0"), quorum.voters(SECOND - 1, BODY), "not settled yet");
        assertEquals(Set.of("m0", "m1"), quorum.voters(SECOND, BODY));
        assertFalse(quorum.hasQuorum(SECOND, BODY));
        receiveVote(SECOND, "m2", 9, BODY);
        assertFalse(quorum.hasQuorum(SECOND, BODY));
        assertTrue(quorum.hasQuorum(2 * SECOND, BODY));
        membership.conflictingNames().add("m1");
        assertEquals(Set.of("m0", "m2"), quorum.voters(2 * SECOND, BODY));
        membership.conflictingNames().clear();
        store.replicator().receive(2 * SECOND, ImpersonationClaim.flag("m1", 1));
        assertEquals(Set.of("m0", "m2"), quorum.voters(2 * SECOND, BODY));
        receiveVote(3 * SECOND, "m2", 10, OTHER_BODY);
        assertEquals(Set.of("m0"), quorum.voters(9 * SECOND, BODY), "withdrawn");
        receiveVote(10 * SECOND, "m2", 11, BODY);
        quorum.refresh(10 * SECOND);
        assertEquals(Set.of("m0", "m2"), quorum.voters(10 * SECOND + lease, BODY));
        assertEquals(
                Set.of("m0"), quorum.voters(10 * SECOND + lease + 1, BODY), "the lease expired");
    }
}
