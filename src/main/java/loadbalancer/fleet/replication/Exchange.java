package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Document;

/**
 * The side of a {@link Store} that talks with other members: what goes out, what comes in, when.
 */
public final class Exchange {
    /** Ageing looks through all members; so often is enough, in microseconds. */
    private static final long LOOK = 1_000_000;

    /** After so many leases unheard a member's documents and tallies are dropped. */
    private static final int LEASES = 2;

    private static final String SUMS = "fleet/sums";

    private final Store store;
    private final Intake intake;
    private final ForgeryDetector forgeries;
    private long version;
    private long nextBeat = Long.MIN_VALUE;
    private long nextLook = Long.MIN_VALUE;
    private int cursor;

    Exchange(Store store, Intake intake, ForgeryDetector forgeries) {
        this.store = store;
        this.intake = intake;
        this.forgeries = forgeries;
    }

    /** What differs from a peer's, in datagrams; not whole if there was more. */
    public record Difference(List<List<Item>> datagrams, boolean whole) {}

    /**
     * Takes a statement from another member; never fails. Tells whether it is the beginning of a
     * document that isn't here, so that whoever sent it should be asked for what differs.
     */
    public boolean merge(long now, Item item) {
        boolean lacks = intake.merge(now, item);
        answerForgery(now);
        return lacks;
    }

    /** What to pass on in so many bytes: own statements first, then what was passed on least. */
    public List<Item> next(long now, int bytes) {
        List<Item> items = new ArrayList<>();
        Set<String> beaten = new HashSet<>();
        int left = bytes - intake.heartbeats().fill(items, HeartbeatQueue.part(bytes), beaten);
        left -= store.spread().fill(items, left, store.size());
        intake.heartbeats().fill(items, left, beaten);
        return items;
    }

    /**
     * Whether anything waits to be passed on; beats ride along, and are worth no datagram of their
     * own.
     */
    public boolean hasNews() {
        return !store.spread().isEmpty();
    }

    /** Of all that is held; the same at members that hold the same. */
    public long hash(long now) {
        return store.holdings().buckets.all();
    }

    /** The same by buckets, to be sent to one peer. */
    public Item.Sums sums(int step, boolean whole) {
        return new Item.Sums(SUMS, store.self(), step, whole, store.holdings().buckets.sums());
    }

    /**
     * What is held here in buckets that are others at a peer, in datagrams of so many bytes. Goes
     * on where it ended the last time, so that all of a large difference gets through in the end.
     */
    public Difference difference(Item.Sums theirs, int datagrams, int bytes) {
        long[] ours = store.holdings().buckets.sums();
        List<Item> differing = new ArrayList<>();
        if (theirs.buckets().length == ours.length) {
            store.holdings()
                    .byMember
                    .values()
                    .forEach(
                            holding ->
                                    holding.each(
                                            item -> {
                                                int bucket = HashBuckets.of(item);
                                                if (ours[bucket] != theirs.buckets()[bucket]) {
                                                    for (int i = 0;
                                                            i < DocumentFragmenter.count(item);
                                                            i++) {
                                                        differing.add(
                                                                DocumentFragmenter.slice(item, i));
                                                    }
                                                }
                                            }));
        }
        List<List<Item>> out = new ArrayList<>();
        int left = 0;
        int taken = 0;
        for (; taken < differing.size(); taken++) {
            Item item = differing.get((cursor + taken) % differing.size());
            int weight = Limits.weight(item);
            if (left < weight) {
                if (out.size() == datagrams) {
                    break;
                }
                out.add(new ArrayList<>());
                left = bytes;
            }
            out.get(out.size() - 1).add(item);
            left -= weight;
        }
        boolean whole = taken == differing.size();
        cursor = whole ? 0 : (cursor + taken) % differing.size();
        return new Difference(out, whole);
    }

    /**
     * A peer's sums came behind all that it holds otherwise: this member has asked, if they agree
     * on flags at least. Documents change too often in a large fleet to be ever found all equal.
     */
    public void compared(long now, Item.Sums theirs) {
        boolean answered = theirs.step() > 0 && theirs.whole();
        if (!store.pending().asked()
                && answered
                && HashBuckets.sameFlags(theirs.buckets(), store.holdings().buckets.sums())) {
            store.pending().hasAsked();
            flush(now);
        }
    }

    /** States what may be stated by now. */
    void flush(long now) {
        PendingStatements pending = store.pending();
        for (Map.Entry<String, byte[]> e : pending.due()) {
            intake.merge(
                    now,
                    store.own(),
                    new Document(
                            e.getKey(),
                            store.self(),
                            pending.generation(),
                            ++version,
                            e.getValue()));
        }
    }

    /**
     * Goes beyond whatever was said in this member's name, and says of its own name that it is
     * contested.
     */
    private void answerForgery(long now) {
        long forged = forgeries.answer(now);
        if (forged >= 0) {
            PendingStatements pending = store.pending();
            Holding own = store.own();
            pending.enter(Math.max(forged, pending.generation()) + 1);
            own.documents.values().forEach(d -> pending.again(d.topic(), d.body()));
            intake.merge(now, own, ImpersonationClaim.flag(store.self(), pending.generation()));
            nextBeat = now;
            flush(now);
        }
    }

    /** Beats, ages, and says what had to wait. */
    public void wake(long now) {
        answerForgery(now);
        flush(now);
        PendingStatements pending = store.pending();
        if (pending.speaks() && now >= nextBeat) {
            Holding own = store.own();
            intake.merge(
                    now,
                    own,
                    new Item.Tally(
                            Heartbeat.TOPIC,
                            store.self(),
                            pending.generation(),
                            new long[] {own.beatIn(pending.generation()) + 1}));
            nextBeat = now + Heartbeat.interval(store.size());
        }
        if (now >= nextLook) {
            nextLook = now + LOOK;
            store.holdings().age(now - LEASES * store.lease(), store.own());
        }
    }

    /** When {@link #wake} wants to be called next. */
    public long nextWake() {
        return Math.min(nextLook, forgeries.due());
    }

    /** The number of the last change that is to be written down; it rises with each. */
    public long mark() {
        return store.pending().mark();
    }

    /** What is to be written down now, up to {@link #mark}. */
    public DurableMemberState memoir() {
        PendingStatements pending = store.pending();
        List<Item.Flag> flags = new ArrayList<>();
        store.holdings()
                .byMember
                .forEach(
                        (member, holding) -> {
                            if (store.roster().contains(member)) {
                                flags.addAll(holding.flags.values());
                            }
                        });
        return new DurableMemberState(
                pending.generation(),
                new TreeMap<>(pending.pledges()),
                flags,
                new TreeMap<>(pending.notes()));
    }

    /** All up to that mark is written down. */
    public void kept(long now, long mark) {
        store.pending().kept(mark);
        flush(now);
    }

    /** How many items are held. */
    public int held() {
        int[] held = new int[1];
        store.holdings().byMember.values().forEach(h -> h.each(item -> held[0]++));
        return held[0];
    }

    /** How many bytes they have, those of documents that are being put together too. */
    public long bytes() {
        return store.holdings().byMember.values().stream().mapToLong(Holding::bytes).sum();
    }

    /** Statements that were not taken, by why. */
    public Map<RejectionReason, Long> refused() {
        return store.holdings().refused();
    }
}
