package loadbalancer.fleet.replication;

import static loadbalancer.fleet.replication.StoreFixture.BODY;
import static loadbalancer.fleet.replication.StoreFixture.FLEET_SIZE;
import static loadbalancer.fleet.replication.StoreFixture.OTHER_BODY;
import static loadbalancer.fleet.replication.StoreFixture.TOPIC;
import static loadbalancer.fleet.replication.StoreFixture.body;
import static loadbalancer.fleet.replication.StoreFixture.document;
import static loadbalancer.fleet.replication.StoreFixture.emptyState;
import static loadbalancer.fleet.replication.StoreFixture.gossip;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a member publishes only after persistence and recovery. */
class PublicationQueueTest {
    private final List<String> logLines = new ArrayList<>();

    private ReplicatedStore startedStore(boolean isPersistent, DurableMemberState restored) {
        return StoreFixture.startedStore(isPersistent, restored, logLines::add);
    }

    private static void persist(ReplicatedStore store) {
        Replicator replicator = store.replicator();
        replicator.onPersisted(0, replicator.lastDurableChange());
    }

    @Test
    void documentsWaitForThePersistedIncarnationAndDurableOnesForTheirOwnPersistence() {
        ReplicatedStore store = startedStore(true, emptyState(9));
        store.publish(0, "plain", BODY);
        store.publishDurably(0, TOPIC, BODY);
        store.replicator().wake(0);
        assertEquals(List.of(), gossip(store, 3));
        assertEquals(10, store.replicator().durableState().incarnation());
        persist(store);
        assertArrayEquals(BODY, body(store, 0, "m0"));
        store.publishDurably(0, TOPIC, OTHER_BODY);
        store.publish(0, "plain", OTHER_BODY);
        assertArrayEquals(BODY, body(store, 0, "m0"), "not persisted yet");
        assertArrayEquals(OTHER_BODY, store.documents(0, "plain").get("m0").body());
        store.storeRecord("ring", OTHER_BODY);
        DurableMemberState state = store.replicator().durableState();
        assertArrayEquals(OTHER_BODY, state.durableDocuments().get(TOPIC));
        persist(store);
        assertArrayEquals(OTHER_BODY, body(store, 0, "m0"));
        ReplicatedStore restarted = startedStore(true, state);
        persist(restarted);
        assertArrayEquals(OTHER_BODY, body(restarted, 0, "m0"));
        assertEquals(11, restarted.documents(0, TOPIC).get("m0").incarnation());
        assertArrayEquals(OTHER_BODY, restarted.storedRecord("ring"));
        assertTrue(restarted.canVote());
    }

    @Test
    void memberWithoutStateRecoversItsDocumentsBeforeItPublishesOrVotes() {
        ReplicatedStore peer = StoreFixture.store("m1", FLEET_SIZE);
        peer.replicator().receive(0, document("m0", 20, 3, BODY));
        peer.raiseFlag(0, "rollout/halt", OTHER_BODY);
        ReplicatedStore started = startedStore(false, null);
        Replicator replicator = started.replicator();
        RevisionQuorum quorum = new RevisionQuorum(started, TOPIC, started.leaseMicros(), 0);
        assertFalse(quorum.vote(0, OTHER_BODY));
        replicator.wake(0);
        assertEquals(List.of(), gossip(started, 3));
        Item.BucketHashes response = peer.replicator().bucketHashes(1, true);
        replicator.onBucketHashes(0, response);
        assertFalse(started.canVote(), "the flag has not arrived");
        peer.replicator()
                .difference(replicator.bucketHashes(0, true), 9, 1_000)
                .datagrams()
                .forEach(items -> items.forEach(item -> replicator.receive(0, item)));
        replicator.onBucketHashes(0, peer.replicator().bucketHashes(1, false));
        assertFalse(started.canVote(), "the response was not complete");
        replicator.onBucketHashes(0, response);
        assertTrue(started.canVote());
        assertArrayEquals(BODY, body(started, 0, "m0"), "its earlier vote");
        assertEquals(21, started.documents(0, TOPIC).get("m0").incarnation());
        assertEquals(List.of(), logLines);
    }
}
