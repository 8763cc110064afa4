package loadbalancer.fleet.replication;

import static loadbalancer.fleet.replication.StoreFixture.BODY;
import static loadbalancer.fleet.replication.StoreFixture.FLEET_SIZE;
import static loadbalancer.fleet.replication.StoreFixture.OTHER_BODY;
import static loadbalancer.fleet.replication.StoreFixture.TOPIC;
import static loadbalancer.fleet.replication.StoreFixture.document;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import loadbalancer.fleet.codec.ItemCodec;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Fragment;
import org.junit.jupiter.api.Test;

/** Tests the limits of the retained state and of encoded items. */
class ReplicationLimitsTest {
    private static final int MAX_RETAINED_ITEMS =
            2
                    + ReplicationLimits.MAX_DOCUMENTS
                    + ReplicationLimits.MAX_FLAGS
                    + ReplicationLimits.MAX_COUNTER_TOPICS * ReplicationLimits.MAX_WINDOWS
                    + ReplicationLimits.MAX_UNKNOWN_MEMBERS;

    private final ReplicatedStore store = StoreFixture.store("m0", FLEET_SIZE);

    private static Item randomItem(Random random, int number) {
        String topic = "t/" + random.nextInt(5_000);
        return switch (random.nextInt(4)) {
            case 0 -> new Document(topic, "m2", 1, number + 1, new byte[random.nextInt(9_000)]);
            case 1 -> new Flag(topic, "m2", new byte[256]);
            case 2 ->
                    new Fragment(
                            "f/" + random.nextInt(2),
                            "m2",
                            1,
                            1,
                            5,
                            random.nextInt(60),
                            60,
                            new byte[1_000]);
            default -> new Counters(topic, "m2", number, new long[32]);
        };
    }

    @Test
    void floodOfItemsIsBoundedAndDisplacesNoOtherMembersItems() {
        store.replicator().receive(0, document("m1", 1, 1, BODY));
        Random random = new Random(1);
        for (int i = 0; i < 20_000; i++) {
            store.replicator().receive(0, randomItem(random, i));
            store.replicator()
                    .receive(0, new Document("s/1", "stranger" + i, 1, 1, new byte[1_000]));
        }
        store.replicator().receive(0, document("m3", 1, 1, OTHER_BODY));
        assertEquals(Set.of("m1", "m3"), store.documents(0, TOPIC).keySet());
        long memberBytes = store.replicas().get("m2").bytes();
        assertTrue(
                memberBytes
                        <= ReplicationLimits.budgetBytes(FLEET_SIZE)
                                + 2 * SharedState.MAX_BODY_BYTES,
                "bytes of member m2: " + memberBytes);
        assertTrue(store.replicator().itemCount() <= MAX_RETAINED_ITEMS);
        long allBytes = store.replicator().itemBytes();
        assertTrue(allBytes <= 2L << 20, "bytes of all members: " + allBytes);
        assertEquals(
                Set.of(RejectionReason.values()), store.replicator().rejectedCounts().keySet());
    }

    @Test
    void encodedBytesIsAnUpperBoundForEachKindOfItem() {
        String topic = "\u20ac".repeat(96);
        String member = "x".repeat(64);
        long version = Item.MAX_VERSION;
        long[] numbers = new long[32];
        Arrays.fill(numbers, Long.MAX_VALUE);
        for (Item item :
                List.of(
                        new Document(topic, member, version, version, new byte[700]),
                        new Flag(topic, member, new byte[256]),
                        new Counters(topic, member, version, numbers),
                        new Fragment(
                                topic,
                                member,
                                version,
                                version,
                                Long.MIN_VALUE,
                                63,
                                64,
                                new byte[448]),
                        new Item.BucketHashes(topic, member, 2, true, numbers))) {
            int listHeadBytes = 1;
            int itemBytes = ItemCodec.encode(List.of(item)).length - listHeadBytes;
            assertTrue(itemBytes <= ReplicationLimits.encodedBytes(item), item.toString());
        }
    }
}
