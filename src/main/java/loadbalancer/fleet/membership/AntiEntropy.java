package loadbalancer.fleet.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Finds what rumours missed: now and then two members compare hashes, and send each other what they
 * hold if these differ. All at once would grow with the fleet, so a comparison is of one of {@code
 * 1 << level} groups of names; the nonce's lowest 4 bits are the level, the next 16 the group.
 * Whoever is asked answers with parts that are comparisons again, which wish for no reply; whoever
 * began then sends its own as gossip.
 */
final class AntiEntropy {
    /**
     * Two packets in 15 s are an eighth of what probes cost, and a group of 1,000 comes up every 8
     * min.
     */
    private static final long PERIOD = 15_000_000;

    /**
     * The first comes sooner, and each wait is twice the one before: many may have started
     * together.
     */
    private static final long FIRST_PERIOD = 2_000_000;

    /**
     * With {@link #AT_ONCE}: 20 packets a second at most, and 1,000 members go to a newcomer in 5
     * s.
     */
    private static final long PART_PERIOD = 100_000;

    private static final int AT_ONCE = 2;

    /** More that want the whole at one time must ask again. */
    private static final int SESSIONS = 8;

    /** Four packets to a group. */
    private static final int GROUP = 32;

    private static final int MOST_LEVEL = 15;
    private static final int BEGUN = 8;

    /** What is being sent to one address. */
    private static final class Session {
        private final String address;
        private final long nonce;
        private final Body body;
        private final List<Member> members;
        private int at;

        Session(String address, long nonce, Body body, List<Member> members) {
            this.address = address;
            this.nonce = nonce;
            this.body = body;
            this.members = members;
        }
    }

    private final MemberTable table;
    private final PacketAssembler mail;
    private final RandomGenerator random;
    private final SwimOutput out;
    private final Deque<Long> begun = new ArrayDeque<>();
    private final Deque<Session> sessions = new ArrayDeque<>();
    private long period = FIRST_PERIOD;
    private long nextAt = Long.MAX_VALUE;
    private long nextPartAt = Long.MIN_VALUE;

    AntiEntropy(MemberTable table, PacketAssembler mail, RandomGenerator random, SwimOutput out) {
        this.table = table;
        this.mail = mail;
        this.random = random;
        this.out = out;
    }

    void start(long t) {
        nextAt = t + (long) (period * (0.5 + random.nextDouble()));
    }

    void stop() {
        nextAt = Long.MAX_VALUE;
        sessions.clear();
    }

    /** Compares the whole, as one that joins. */
    void beginWhole(String address, List<Member> first) {
        begin(address, random.nextLong() & ~15, first);
    }

    /** Compares one group, drawn. */
    void begin(String address, List<Member> first) {
        int groups = Math.max(1, (table.fleet() + GROUP - 1) / GROUP);
        int level = Math.min(MOST_LEVEL, 32 - Integer.numberOfLeadingZeros(groups - 1));
        begin(address, random.nextLong() & ~15 | level, first);
    }

    private void begin(String address, long nonce, List<Member> first) {
        begun.addLast(nonce);
        if (begun.size() > BEGUN) {
            begun.removeFirst();
        }
        mail.send(address, new Body.Compare(nonce, hash(nonce), out.items(), true), first);
    }

    private static int level(long nonce) {
        return (int) (nonce & 15);
    }

    private static long group(long nonce) {
        return nonce >>> 4 & (1 << level(nonce)) - 1;
    }

    private long hash(long nonce) {
        return table.hash(level(nonce), group(nonce));
    }

    void received(Body.Compare compare, String from) {
        long nonce = compare.nonce();
        if (compare.reply()) {
            long hash = hash(nonce);
            if (hash != compare.members()) {
                send(from, nonce, new Body.Compare(nonce, hash, out.items(), false));
            }
        } else if (begun.remove(nonce) && hash(nonce) != compare.members()) {
            send(from, nonce, new Body.Gossip());
        }
    }

    private void send(String address, long nonce, Body body) {
        boolean known =
                sessions.stream().anyMatch(s -> s.nonce == nonce && s.address.equals(address));
        if (!known && sessions.size() < SESSIONS) {
            sessions.addLast(
                    new Session(address, nonce, body, table.group(level(nonce), group(nonce))));
        }
    }

    long next() {
        return sessions.isEmpty() ? nextAt : Math.min(nextAt, nextPartAt);
    }

    void wake(long t) {
        if (t >= nextAt) {
            period = Math.min(PERIOD, 2 * period);
            nextAt = t + (long) (period * (0.5 + random.nextDouble()));
            for (Member member : table.some(1, random, m -> m.health() == Health.ALIVE)) {
                begin(member.address(), List.of());
            }
        }
        if (!sessions.isEmpty() && t >= nextPartAt) {
            nextPartAt = t + PART_PERIOD;
            for (int i = 0; i < AT_ONCE && !sessions.isEmpty(); i++) {
                sendPart(sessions.removeFirst());
            }
        }
    }

    private void sendPart(Session session) {
        int to = session.at + PacketAssembler.fitting(session.members, session.at);
        mail.send(session.address, session.body, session.members.subList(session.at, to));
        session.at = to;
        if (to < session.members.size()) {
            sessions.addLast(session);
        }
    }
}
