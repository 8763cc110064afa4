package loadbalancer.fleet.replication;

import static loadbalancer.fleet.replication.StoreFixture.BODY;
import static loadbalancer.fleet.replication.StoreFixture.FLEET_SIZE;
import static loadbalancer.fleet.replication.StoreFixture.OTHER_BODY;
import static loadbalancer.fleet.replication.StoreFixture.SECOND;
import static loadbalancer.fleet.replication.StoreFixture.TOPIC;
import static loadbalancer.fleet.replication.StoreFixture.document;
import static loadbalancer.fleet.replication.StoreFixture.emptyState;
import static loadbalancer.fleet.replication.StoreFixture.gossip;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import org.junit.jupiter.api.Test;

/** Tests the response of a member when another process publishes under its name. */
class ImpersonationDetectorTest {
    private final List<String> logLines = new ArrayList<>();

    private ReplicatedStore startedStore(DurableMemberState restored) {
        return StoreFixture.startedStore(false, restored, logLines::add);
    }

    @Test
    void impersonatedMemberExceedsTheForgedIncarnationAndLosesItsVote() {
        ReplicatedStore local = startedStore(emptyState(0));
        local.publish(0, TOPIC, BODY);
        ReplicatedStore peer = StoreFixture.store("m1", FLEET_SIZE);
        Document forged = document("m0", 9, 40, OTHER_BODY);
        peer.replicator().receive(0, forged);
        local.replicator().receive(0, forged);
        local.replicator().receive(1, document("m0", 11, 1, OTHER_BODY));
        gossip(local, 9).forEach(item -> peer.replicator().receive(0, item));
        assertArrayEquals(BODY, StoreFixture.body(peer, 0, "m0"));
        assertFalse(peer.isEligibleVoter("m0"));
        assertEquals(Set.of("m0"), peer.impersonatedMembers());
        assertEquals(1, logLines.size(), logLines.toString());
        local.replicator().wake(SECOND);
        assertEquals(
                12,
                local.documents(SECOND, TOPIC).get("m0").incarnation(),
                "the response to the second forgery follows after the interval");
        ReplicatedStore restarted = startedStore(local.replicator().durableState());
        restarted.publish(0, TOPIC, BODY);
        gossip(restarted, 9).forEach(item -> peer.replicator().receive(0, item));
        assertTrue(peer.isEligibleVoter("m0"), "may vote again after a restart");
    }

    @Test
    void ownItemsAndItemsOfAnEarlierIncarnationAreNotForged() {
        ReplicatedStore local = startedStore(emptyState(0));
        local.publish(0, TOPIC, OTHER_BODY);
        local.replicator().wake(0);
        List<Item> ownItems = gossip(local, 9);
        local.publish(0, TOPIC, BODY);
        local.replicator().receive(0, document("m0", 3, 99, OTHER_BODY));
        ownItems.forEach(item -> local.replicator().receive(0, item));
        assertEquals(List.of(), logLines);
        long version = local.documents(0, TOPIC).get("m0").version();
        local.replicator().receive(0, document("m0", 7, version, OTHER_BODY));
        assertEquals(1, logLines.size(), "another body with the same version");
    }

    /** Covers claims by flags under the claimant's own name and by documents. */
    @Test
    void falseClaimAboutOthersRemovesOnlyTheClaimantsVote() {
        ReplicatedStore store = StoreFixture.store("m0", FLEET_SIZE);
        for (Item claim :
                List.of(
                        ImpersonationClaim.flag("m4", 99),
                        new Flag(ImpersonationClaim.TOPIC + "/m1", "m4", BODY),
                        new Document(ImpersonationClaim.TOPIC, "m4", 1, 1, "m1".getBytes()),
                        new Flag("m1", "m4", new byte[] {-1}))) {
            store.replicator().receive(0, claim);
        }
        assertTrue(store.isEligibleVoter("m1"));
        assertTrue(store.isEligibleVoter("m2"));
        assertTrue(store.isEligibleVoter("m0"));
        assertFalse(store.isEligibleVoter("m4"));
        assertFalse(store.isEligibleVoter("stranger"));
    }
}
