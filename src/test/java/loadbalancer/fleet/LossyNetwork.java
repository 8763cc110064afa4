package loadbalancer.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import loadbalancer.fleet.codec.DatagramCodec;
import loadbalancer.fleet.codec.SigningKeys;
import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.SwimMessage;
import loadbalancer.fleet.replication.DurableMemberState;
import loadbalancer.fleet.replication.MemberIdentity;
import loadbalancer.fleet.replication.ReplicatedStore;

/**
 * Runs members with a fixed membership in virtual time, on a network that loses, duplicates and
 * reorders datagrams. Times are microseconds.
 */
final class LossyNetwork {
    static final long SECOND = 1_000_000;

    /** A durable state without content, with which a member need not recover. */
    static final DurableMemberState EMPTY_STATE =
            new DurableMemberState(0, Map.of(), List.of(), Map.of());

    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<String, Fleet> fleets = new TreeMap<>();
    private final Random random = new Random(5);
    private final double lossProbability = 0.2;
    private boolean isPartitioned;
    private long now;
    private long nextOrder;

    /** Sends a packet to a random member every second, a tenth of them digests. */
    private final class RandomGossip implements MembershipProtocol {
        private final FixedMembership membership;
        private final PacketSender sender;
        private long nextPacketAt;

        RandomGossip(FixedMembership membership, PacketSender sender) {
            this.membership = membership;
            membership.setBootId(nextOrder++);
            this.sender = sender;
            nextPacketAt = now + random.nextInt((int) SECOND);
        }

        @Override
        public void received(
                long nowMicros, Packet packet, String name, String address, long bootId) {}

        @Override
        public void wake(long nowMicros) {
            if (nowMicros >= nextPacketAt) {
                nextPacketAt = nowMicros + SECOND;
                String address = "m" + random.nextInt(membership.members().size());
                SwimMessage message =
                        random.nextInt(10) > 0
                                ? new SwimMessage.Gossip()
                                : new SwimMessage.Digest(1, 2, 3, true);
                sender.send(address, new Packet(message, List.of(membership.self())));
            }
        }

        @Override
        public long nextWakeMicros() {
            return nextPacketAt;
        }

        @Override
        public Membership membership() {
            return membership;
        }
    }

    long now() {
        return now;
    }

    Map<String, Fleet> fleets() {
        return fleets;
    }

    Fleet fleet(String name) {
        return fleets.get(name);
    }

    void setPartitioned(boolean partitioned) {
        isPartitioned = partitioned;
    }

    /** Starts a whole fleet whose members need not recover. */
    void startAll(int size) {
        for (int i = 0; i < size; i++) {
            start("m" + i, size, EMPTY_STATE);
        }
    }

    /** Starts a member, which must recover if {@code restored} is null. */
    Fleet start(String name, int size, DurableMemberState restored) {
        Fleet fleet =
                new Fleet(
                        new DatagramCodec(new SigningKeys(new byte[32]), line -> {}),
                        (address, bytes) -> transmit(name, address, bytes),
                        new Random(name.hashCode()),
                        sender -> new RandomGossip(new FixedMembership(name, size), sender),
                        membership -> createStore(name, size, membership, restored));
        fleets.put(name, fleet);
        wake(name, fleet);
        return fleet;
    }

    private ReplicatedStore createStore(
            String name, int size, Membership membership, DurableMemberState restored) {
        MemberIdentity identity = new MemberIdentity(name, FixedMembership.names(size), 1, false);
        return new ReplicatedStore(now, identity, membership, restored, line -> {});
    }

    private void transmit(String from, String to, byte[] bytes) {
        for (int copies = random.nextInt(8) == 0 ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= lossProbability && !isCut(from, to)) {
                schedule(now + 1_000 + random.nextInt(50_000), () -> deliver(from, to, bytes));
            }
        }
    }

    private void deliver(String from, String to, byte[] bytes) {
        Fleet fleet = fleets.get(to);
        if (fleet != null) {
            fleet.received(now, bytes, from);
        }
    }

    private boolean isCut(String from, String to) {
        return isPartitioned && (from.hashCode() & 1) != (to.hashCode() & 1);
    }

    private void wake(String name, Fleet fleet) {
        if (fleets.get(name) == fleet) {
            fleet.wake(now);
            schedule(Math.max(now + 10_000, fleet.nextWakeMicros()), () -> wake(name, fleet));
        }
    }

    private void schedule(long at, Runnable action) {
        events.add(new Event(at, nextOrder++, action));
    }

    /** Runs the simulation until that time. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }

    /** Returns how many members have a document of m1 on that topic. */
    long countWithDocument(String topic) {
        return fleets.values().stream()
                .filter(fleet -> fleet.store().documents(now, topic).containsKey("m1"))
                .count();
    }

    /** Returns the number of distinct states of all members. */
    long countDistinctStates() {
        return fleets.values().stream()
                .map(fleet -> fleet.store().replicator().itemsHash())
                .distinct()
                .count();
    }

    /** Returns the number of bytes that all members have sent. */
    long bytesSent() {
        return fleets.values().stream().mapToLong(fleet -> fleet.metrics().bytesSent()).sum();
    }
}
