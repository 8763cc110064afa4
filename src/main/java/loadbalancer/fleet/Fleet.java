package loadbalancer.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.codec.Datagram;
import loadbalancer.fleet.codec.DatagramCodec;
import loadbalancer.fleet.codec.DropReason;
import loadbalancer.fleet.membership.Body;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.replication.Exchange;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.Store;

/**
 * Membership, shared state and wire together: bytes and time in, bytes out. Pure logic, for one
 * thread.
 */
public final class Fleet {
    /**
     * Between two datagrams that carry nothing but items, in microseconds, as long as there is
     * news: it doubles each time among those that know, so that 100 members know within 2 s.
     */
    static final long GOSSIP = 250_000;

    /** Between two questions of one that has just started, in microseconds. */
    static final long ASK = 1_000_000;

    /** Between two questions for long documents: by then what was asked for is here, or is lost. */
    static final long PULL = 500_000;

    /** Of one answer at most: a document of the longest kind has 19. */
    static final int ANSWER_DATAGRAMS = 24;

    /** The socket. */
    public interface Sender {
        /** Sends a datagram to {@code host:port}; fails silently. */
        void send(String address, byte[] bytes);
    }

    private final DatagramCodec wire;
    private final Store store;
    private final Exchange exchange;
    private final Gossiper gossiper;
    private final Sender sender;
    private final RandomGenerator random;
    private final Quota answers = new Quota();
    private long number;
    private long nextGossip = Long.MIN_VALUE;
    private long nextAsk = Long.MIN_VALUE;
    private long nextPull = Long.MIN_VALUE;
    private long datagramsIn;
    private long bytesIn;
    private long datagramsOut;
    private long bytesOut;

    /** Both are made by functions, since each needs something that comes from the other. */
    public Fleet(
            DatagramCodec wire,
            Sender sender,
            RandomGenerator random,
            Function<PacketSender, Gossiper> gossiper,
            Function<Membership, Store> store) {
        this.wire = wire;
        this.sender = sender;
        this.random = random;
        this.gossiper = gossiper.apply(this::send);
        this.store = store.apply(this.gossiper.membership());
        this.exchange = this.store.exchange();
    }

    /** What the parts of the product see. */
    public Store shared() {
        return store;
    }

    /** Who belongs to the fleet. */
    public Membership members() {
        return gossiper.membership();
    }

    /**
     * Takes a datagram, of at most one byte more than {@link DatagramCodec#LONGEST}; never fails.
     */
    public void received(long now, byte[] bytes, String address) {
        datagramsIn++;
        bytesIn += bytes.length;
        Datagram d = wire.decode(bytes, address);
        if (d == null) {
            return;
        }
        Member self = gossiper.membership().self();
        if (d.from().equals(self.name()) && d.boot() == self.boot()) {
            wire.drop(DropReason.REFLECTED, address);
            return;
        }
        Item.Sums sums = null;
        boolean lacks = false;
        for (Item item : d.items()) {
            if (item instanceof Item.Sums s) {
                sums = s;
            } else {
                lacks |= exchange.merge(now, item);
            }
        }
        gossiper.received(now, d.packet(), d.from(), address, d.boot());
        if (lacks && now >= nextPull) {
            nextPull = now + PULL;
            emit(address, gossip(), List.of(exchange.sums(0, true)));
        }
        if (sums != null) {
            compared(now, sums, address);
        } else if (d.packet().body() instanceof Body.Compare c
                && c.items() != exchange.hash(now)
                && answers.take(now, address, 1)) {
            emit(address, gossip(), List.of(exchange.sums(0, true)));
        }
    }

    /** Sends what a peer lacks, and behind it the own sums, so that it knows that this was all. */
    private void compared(long now, Item.Sums theirs, String address) {
        exchange.compared(now, theirs);
        if (!answers.take(now, address, ANSWER_DATAGRAMS)) {
            return;
        }
        int room = wire.room(store.self(), gossip());
        Exchange.Difference difference = exchange.difference(theirs, ANSWER_DATAGRAMS, room);
        difference.datagrams().forEach(items -> emit(address, gossip(), items));
        if (theirs.step() < 2) {
            emit(address, gossip(), List.of(exchange.sums(theirs.step() + 1, difference.whole())));
        }
    }

    private static Packet gossip() {
        return new Packet(new Body.Gossip(), List.of());
    }

    private void send(long now, String address, Packet packet) {
        Packet whole =
                packet.body() instanceof Body.Compare c
                        ? new Packet(
                                new Body.Compare(
                                        c.nonce(), c.members(), exchange.hash(now), c.reply()),
                                packet.rumours())
                        : packet;
        int room = wire.room(store.self(), whole);
        while (room < 0 && !whole.rumours().isEmpty()) {
            List<Member> rumours = whole.rumours();
            whole = new Packet(whole.body(), rumours.subList(0, rumours.size() - 1));
            room = wire.room(store.self(), whole);
        }
        emit(address, whole, exchange.next(now, room));
    }

    private void emit(String address, Packet packet, List<Item> items) {
        byte[] bytes =
                wire.encode(
                        new Datagram(
                                store.self(),
                                gossiper.membership().self().boot(),
                                ++number,
                                packet,
                                items));
        datagramsOut++;
        bytesOut += bytes.length;
        sender.send(address, bytes);
    }

    /** Does what is due. */
    public void wake(long now) {
        gossiper.wake(now);
        exchange.wake(now);
        if (now >= nextGossip && exchange.hasNews()) {
            nextGossip = now + jittered(GOSSIP);
            String address = anyone();
            if (address != null) {
                send(now, address, gossip());
            }
        }
        if (!store.mayVote() && now >= nextAsk) {
            nextAsk = now + jittered(ASK);
            String address = anyone();
            if (address != null) {
                emit(address, gossip(), List.of(exchange.sums(0, true)));
            }
        }
    }

    /** Within a quarter, so that balancers that start together don't go on in step. */
    private long jittered(long interval) {
        return interval * 3 / 4 + random.nextLong(interval / 2);
    }

    private String anyone() {
        List<String> others = new ArrayList<>();
        for (Member m : gossiper.membership().members()) {
            if (m.health().compareTo(Health.DEAD) < 0 && !m.name().equals(store.self())) {
                others.add(m.address());
            }
        }
        return others.isEmpty() ? null : others.get(random.nextInt(others.size()));
    }

    /**
     * When {@link #wake} wants to be called next, in microseconds; a statement may bring it
     * forward.
     */
    public long nextWake() {
        long next = Math.min(gossiper.nextWake(), exchange.nextWake());
        next = exchange.hasNews() ? Math.min(next, nextGossip) : next;
        return store.mayVote() ? next : Math.min(next, nextAsk);
    }

    /** Figures. */
    public Traffic traffic() {
        Map<String, Long> dropped = new TreeMap<>();
        wire.dropped().forEach((why, count) -> dropped.put(why.label(), count));
        Map<String, Long> refused = new TreeMap<>();
        exchange.refused().forEach((why, count) -> refused.put(why.label(), count));
        return new Traffic(
                datagramsIn,
                bytesIn,
                datagramsOut,
                bytesOut,
                dropped,
                refused,
                wire.unknownBodies() + wire.unknownItems(),
                exchange.held(),
                exchange.bytes(),
                store.forged().size());
    }
}
