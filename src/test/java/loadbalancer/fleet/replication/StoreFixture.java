package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.fleet.FixedMembership;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;

/** Creates stores of a fleet of five, and items for them. */
final class StoreFixture {
    static final long SECOND = 1_000_000;
    static final int FLEET_SIZE = 5;
    static final String TOPIC = "calendar/held";
    static final byte[] BODY = {1};
    static final byte[] OTHER_BODY = {2};

    private StoreFixture() {}

    /** Returns a persisted state with an incarnation and no content. */
    static DurableMemberState emptyState(long incarnation) {
        return new DurableMemberState(incarnation, Map.of(), List.of(), Map.of());
    }

    /** Creates a store without persistence that need not recover. */
    static ReplicatedStore store(String self, int fleetSize) {
        return new ReplicatedStore(
                0,
                new MemberIdentity(self, FixedMembership.names(fleetSize), 1, false),
                new FixedMembership(self, fleetSize),
                emptyState(0),
                line -> {});
    }

    /** Creates the store of m0, which starts in incarnation 7 or later. */
    static ReplicatedStore startedStore(
            boolean isPersistent, DurableMemberState restored, Consumer<String> log) {
        return new ReplicatedStore(
                0,
                new MemberIdentity("m0", FixedMembership.names(FLEET_SIZE), 7, isPersistent),
                new FixedMembership("m0", FLEET_SIZE),
                restored,
                log);
    }

    static Document document(String member, long incarnation, long version, byte[] body) {
        return new Document(TOPIC, member, incarnation, version, body);
    }

    static Counters heartbeat(String member, long incarnation, long count) {
        return Heartbeat.of(member, incarnation, count);
    }

    /** Returns the items of the next datagrams, of 1,000 bytes each. */
    static List<Item> gossip(ReplicatedStore store, int datagrams) {
        List<Item> items = new ArrayList<>();
        for (int i = 0; i < datagrams; i++) {
            items.addAll(store.replicator().nextItems(1_000));
        }
        return items;
    }

    /** Returns the body that a member has published on {@link #TOPIC}. */
    static byte[] body(ReplicatedStore store, long nowMicros, String member) {
        return store.documents(nowMicros, TOPIC).get(member).body();
    }
}
