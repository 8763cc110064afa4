package loadbalancer.fleet.replication;

import static loadbalancer.fleet.replication.StoreFixture.BODY;
import static loadbalancer.fleet.replication.StoreFixture.FLEET_SIZE;
import static loadbalancer.fleet.replication.StoreFixture.SECOND;
import static loadbalancer.fleet.replication.StoreFixture.TOPIC;
import static loadbalancer.fleet.replication.StoreFixture.document;
import static loadbalancer.fleet.replication.StoreFixture.gossip;
import static loadbalancer.fleet.replication.StoreFixture.heartbeat;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Fragment;
import org.junit.jupiter.api.Test;

/** Tests the reassembly of long documents, leases and heartbeats. */
class ReplicatedStoreTest {
    private final ReplicatedStore store = StoreFixture.store("m0", FLEET_SIZE);
    private final Replicator replicator = store.replicator();

    @Test
    void longDocumentIsMergedWhenAllFragmentsHaveArrivedInAnyOrder() {
        byte[] body = new byte[SharedState.MAX_BODY_BYTES];
        new Random(2).nextBytes(body);
        ReplicatedStore peer = StoreFixture.store("m1", FLEET_SIZE);
        peer.publish(0, TOPIC, body);
        assertTrue(replicator.receive(0, gossip(peer, 1).get(0)), "requests the other fragments");
        List<Item> fragments = new ArrayList<>();
        peer.replicator()
                .difference(replicator.bucketHashes(0, true), 24, 1_100)
                .datagrams()
                .forEach(fragments::addAll);
        assertTrue(fragments.stream().allMatch(item -> ReplicationLimits.encodedBytes(item) < 540));
        Collections.shuffle(fragments, new Random(3));
        Item last = fragments.remove(0);
        fragments.removeIf(item -> ((Fragment) item).index() == ((Fragment) last).index());
        fragments.forEach(item -> replicator.receive(0, item));
        assertEquals(Map.of(), store.documents(0, TOPIC));
        replicator.receive(0, last);
        assertArrayEquals(body, StoreFixture.body(store, 0, "m1"));
        assertEquals(peer.replicator().itemsHash(), replicator.itemsHash());
    }

    @Test
    void dropsDocumentWhoseDigestDiffersFromItsFragments() {
        replicator.receive(0, new Fragment("x", "m1", 1, 9, 123, 0, 2, new byte[1]));
        replicator.receive(0, new Fragment("x", "m1", 1, 9, 123, 1, 2, new byte[1]));
        assertEquals(Map.of(), store.documents(0, "x"));
    }

    @Test
    void documentExpiresALeaseAfterTheLastHeartbeatAndIsNotRevivedByOthers() {
        long lease = store.leaseMicros();
        replicator.receive(0, document("m1", 3, 1, BODY));
        replicator.receive(lease, heartbeat("m1", 3, 1));
        assertEquals(Set.of("m1"), store.documents(2 * lease, TOPIC).keySet());
        assertEquals(lease, store.sinceLastReceivedMicros(2 * lease, "m1"));
        assertEquals(Map.of(), store.documents(2 * lease + 1, TOPIC));
        replicator.wake(3 * lease + 1);
        assertEquals(0, replicator.itemCount());
        replicator.receive(3 * lease + 2, document("m1", 3, 1, BODY));
        assertEquals(
                Map.of(), store.documents(3 * lease + 2, TOPIC), "another member sent an old one");
        replicator.receive(4 * lease, heartbeat("m1", 3, 2));
        replicator.receive(4 * lease, document("m1", 3, 1, BODY));
        assertEquals(
                Set.of("m1"),
                store.documents(4 * lease, TOPIC).keySet(),
                "valid again after a heartbeat");
        replicator.receive(4 * lease, heartbeat("m1", 4, 1));
        assertEquals(Map.of(), store.documents(4 * lease, TOPIC), "not in its next incarnation");
    }

    @Test
    void heartbeatsFollowTheIntervalForTheFleetSize() {
        store.publish(0, TOPIC, BODY);
        ReplicatedStore peer = StoreFixture.store("m1", FLEET_SIZE);
        for (long now = 0; now < 120 * SECOND; now = replicator.nextWakeMicros()) {
            replicator.wake(now);
            for (Item item : replicator.nextItems(1_000)) {
                peer.replicator().receive(now, item);
            }
            long maxIntervalMicros = Heartbeat.intervalMicros(FLEET_SIZE) + SECOND;
            assertTrue(peer.sinceLastReceivedMicros(now, "m0") <= maxIntervalMicros);
        }
        assertEquals(Set.of("m0"), peer.documents(120 * SECOND, TOPIC).keySet());
        assertTrue(Heartbeat.intervalMicros(1_000) * 20 >= 1_000 * SECOND);
    }
}
