package loadbalancer.fleet.replication;

import static loadbalancer.fleet.replication.ReplicationModel.content;
import static loadbalancer.fleet.replication.ReplicationModel.expectedContent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Flag;
import org.junit.jupiter.api.Test;

/** Compares stores after random histories of items with {@link ReplicationModel}. */
class ReplicationConvergenceTest {
    private static final int FLEET_SIZE = 4;

    private static ReplicatedStore store() {
        return StoreFixture.store("m0", FLEET_SIZE);
    }

    @Test
    void contentIsIndependentOfTheItemsOrderAndRepetition() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            List<Item> history = ReplicationModel.randomHistory(random);
            Map<String, String> expected = expectedContent(history);
            List<Item> received = new ArrayList<>(history);
            received.addAll(history.subList(0, history.size() / 2));
            long hash = 0;
            for (int order = 0; order < 3; order++) {
                ReplicatedStore store = store();
                Collections.shuffle(received, random);
                received.forEach(item -> store.replicator().receive(1, item));
                assertEquals(expected, content(store), "seed " + seed);
                long itemsHash = store.replicator().itemsHash();
                assertTrue(order == 0 || hash == itemsHash, "seed " + seed);
                hash = itemsHash;
            }
        }
    }

    @Test
    void antiEntropyConvergesWhenResponsesAreTruncated() {
        for (int seed = 0; seed < 100; seed++) {
            Random random = new Random(seed);
            // Heartbeats are not compared: both sides receive all of them.
            Map<Boolean, List<Item>> parts =
                    new TreeMap<>(Map.of(true, new ArrayList<>(), false, new ArrayList<>()));
            for (Item item : ReplicationModel.randomHistory(random)) {
                parts.forEach(
                        (side, part) -> {
                            if (ReplicationModel.isHeartbeat(item) || random.nextInt(3) > 0) {
                                part.add(item);
                            }
                        });
            }
            ReplicatedStore left = store();
            ReplicatedStore right = store();
            parts.get(true).forEach(item -> left.replicator().receive(1, item));
            parts.get(false).forEach(item -> right.replicator().receive(1, item));
            converge(left, right, "seed " + seed);
            List<Item> received = new ArrayList<>(parts.get(true));
            received.addAll(parts.get(false));
            assertEquals(expectedContent(received), content(left), "seed " + seed);
            assertEquals(content(left), content(right));
        }
    }

    private static void converge(ReplicatedStore left, ReplicatedStore right, String seed) {
        int rounds = 0;
        while (left.replicator().itemsHash() != right.replicator().itemsHash()) {
            assertTrue(rounds++ < 200, seed);
            pull(left, right);
            pull(right, left);
        }
    }

    private static void pull(ReplicatedStore from, ReplicatedStore to) {
        Item.BucketHashes request = to.replicator().bucketHashes(0, true);
        Replicator.Difference difference = from.replicator().difference(request, 1, 200);
        assertTrue(difference.datagrams().size() <= 1);
        for (List<Item> items : difference.datagrams()) {
            int bytes = items.stream().mapToInt(ReplicationLimits::encodedBytes).sum();
            assertTrue(bytes <= 200);
            items.forEach(item -> to.replicator().receive(1, item));
        }
    }

    /** Holds whatever other items are received, and after the member's items have expired. */
    @Test
    void raisedFlagIsRetainedPermanently() {
        Flag halt = new Flag("rollout/halt", "m1", new byte[] {1});
        for (int seed = 0; seed < 100; seed++) {
            Random random = new Random(seed);
            List<Item> history = ReplicationModel.randomHistory(random);
            history.add(random.nextInt(history.size()), halt);
            ReplicatedStore store = store();
            long now = 0;
            for (Item item : history) {
                now += random.nextInt(30_000_000);
                store.replicator().receive(now, item);
                store.replicator().wake(now);
            }
            store.replicator().wake(now + 3_600_000_000L);
            assertEquals(1, store.flags("rollout/halt").size());
            assertTrue(
                    store.replicator().durableState().flags().stream()
                            .anyMatch(flag -> flag.topic().equals("rollout/halt")));
        }
    }
}
