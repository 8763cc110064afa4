package loadbalancer.fleet.replication;

import static loadbalancer.fleet.replication.StoreFixture.BODY;
import static loadbalancer.fleet.replication.StoreFixture.FLEET_SIZE;
import static loadbalancer.fleet.replication.StoreFixture.document;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Document;
import org.junit.jupiter.api.Test;

/** Tests how often and in which order items are gossiped. */
class DisseminationQueueTest {
    private final ReplicatedStore store = StoreFixture.store("m0", FLEET_SIZE);

    @Test
    void highPublicationRateDelaysOnlyItemsOfThatMember() {
        Replicator replicator = store.replicator();
        Set<String> sent = new HashSet<>();
        for (int i = 1; i <= 40; i++) {
            replicator.receive(0, new Document("t/" + i, "m1", 1, i, new byte[300]));
            replicator.receive(0, new Document("t/" + i % 3, "m1", 1, 100 + i, new byte[300]));
            if (i == 20) {
                replicator.receive(0, document("m2", 1, 1, BODY));
                replicator.receive(0, document("m3", 1, 1, BODY));
            }
            replicator.nextItems(800).forEach(item -> sent.add(item.member()));
            assertTrue(i < 22 || sent.containsAll(Set.of("m2", "m3")), "after " + i);
        }
    }

    @Test
    void eachItemIsSentAsOftenAsTheTransmitLimitAndLocalItemsFirst() {
        for (int i = 1; i <= 4; i++) {
            store.replicator().receive(0, document("m" + i, 1, 1, BODY));
        }
        store.publish(0, "own/1", BODY);
        List<Item> sent = new ArrayList<>(store.replicator().nextItems(120));
        assertEquals("m0", sent.get(0).member());
        sent.addAll(StoreFixture.gossip(store, 100));
        Map<String, Integer> transmissions = new HashMap<>();
        for (Item item : sent) {
            transmissions.merge(item.member(), 1, Integer::sum);
        }
        int limit = DisseminationQueue.transmitLimit(FLEET_SIZE);
        assertEquals(
                Map.of("m0", limit, "m1", limit, "m2", limit, "m3", limit, "m4", limit),
                transmissions);
        assertFalse(store.replicator().hasItemsToGossip());
        store.replicator().receive(0, document("m1", 1, 1, BODY));
        assertFalse(store.replicator().hasItemsToGossip(), "a known item is not gossiped");
    }
}
