package loadbalancer.fleet.replication;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Tally;

/**
 * The state that the fleet shares, as this member holds it. What it holds follows from the
 * statements that it heard and not from their order; only ageing goes by time. For one thread.
 */
public final class Store implements Shared {
    /** How long ago somebody was heard of whom nothing is known, in microseconds: for ever. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final int LONGEST_TOPIC = 96;

    private final String self;
    private final Set<String> roster;
    private final Membership members;
    private final Holdings holdings;
    private final DisseminationQueue spread;
    private final Holding own;
    private final PendingStatements pending;
    private final Intake intake;
    private final Exchange exchange;

    /**
     * Who this member is.
     *
     * @param generation greater than in its earlier lives as far as that can be told, such as the
     *     seconds of the wall clock at its start; a memoir's or what others tell wins over it if
     *     that is later
     * @param lasting whether what is pledged is written down, and {@link #kept} called
     */
    public record Identity(String self, Set<String> roster, long generation, boolean lasting) {}

    /**
     * Begins.
     *
     * @param recalled what this member wrote down in an earlier life, or null
     * @param told takes single lines for a log
     */
    public Store(
            long now,
            Identity identity,
            Membership members,
            DurableMemberState recalled,
            Consumer<String> told) {
        this.self = identity.self();
        this.roster = Set.copyOf(identity.roster());
        this.members = members;
        this.holdings = new Holdings(roster, told);
        this.spread = new DisseminationQueue(self, holdings);
        this.own = holdings.admit(now, self);
        boolean alone = roster.stream().allMatch(self::equals);
        this.pending =
                new PendingStatements(
                        Math.max(
                                identity.generation(),
                                recalled == null ? 0 : recalled.generation() + 1),
                        identity.lasting(),
                        recalled != null || alone);
        ForgeryDetector forgeries = new ForgeryDetector(self, told);
        this.intake = new Intake(holdings, spread, own, pending, forgeries);
        this.exchange = new Exchange(this, intake, forgeries);
        if (recalled != null) {
            recalled.flags().forEach(f -> intake.merge(now, f));
            recalled.pledges().forEach(pending::pledge);
            pending.notes().putAll(recalled.notes());
        }
        exchange.flush(now);
    }

    /** The side of it that talks with other members. */
    public Exchange exchange() {
        return exchange;
    }

    Holdings holdings() {
        return holdings;
    }

    DisseminationQueue spread() {
        return spread;
    }

    Holding own() {
        return own;
    }

    PendingStatements pending() {
        return pending;
    }

    /** How many members there are, as far as is known. */
    int size() {
        return members.members().size();
    }

    @Override
    public String self() {
        return self;
    }

    @Override
    public Set<String> roster() {
        return roster;
    }

    @Override
    public boolean counts(String member) {
        Holding holding = holdings.byMember.get(member);
        return roster.contains(member)
                && !members.contested(member)
                && (holding == null || !ImpersonationClaim.standsAgainst(holding));
    }

    /** Those in whose names others speak, as they say themselves. */
    public Set<String> forged() {
        Set<String> forged = new TreeSet<>();
        holdings.byMember.forEach(
                (member, holding) -> {
                    if (ImpersonationClaim.standsAgainst(holding)) {
                        forged.add(member);
                    }
                });
        return forged;
    }

    @Override
    public boolean alive(String member) {
        Member m = members.member(member);
        return member.equals(self) || m != null && m.health().compareTo(Health.DEAD) < 0;
    }

    @Override
    public boolean mayVote() {
        return pending.asked();
    }

    @Override
    public void say(long now, String topic, byte[] body) {
        if (mine(topic, body)) {
            pending.say(topic, body.clone());
            exchange.flush(now);
        }
    }

    @Override
    public void pledge(long now, String topic, byte[] body) {
        if (mine(topic, body)) {
            pending.pledge(topic, body.clone());
            exchange.flush(now);
        }
    }

    /**
     * Little more than half of what others take: they may hold some of before together with some of
     * now.
     */
    private boolean mine(String topic, byte[] body) {
        Document old = own.documents.get(topic);
        int bytes =
                own.bytes()
                        + pending.unsaidBytes()
                        + body.length
                        - (old == null ? 0 : old.body().length);
        boolean full = bytes > Limits.budget(roster.size()) / 2 + LONGEST_BODY / 2;
        if (topic.isEmpty()
                || topic.length() > LONGEST_TOPIC
                || body.length > LONGEST_BODY
                || full) {
            holdings.refuse(RejectionReason.BYTES, self);
            return false;
        }
        if (old == null && own.documents.size() + pending.topics() >= Limits.DOCUMENTS) {
            holdings.refuse(RejectionReason.TOPICS, self);
            return false;
        }
        return true;
    }

    @Override
    public void note(String key, byte[] bytes) {
        if (mine(key, bytes)) {
            pending.note(key, bytes.clone());
        }
    }

    @Override
    public byte[] noted(String key) {
        byte[] noted = pending.notes().get(key);
        return noted == null ? null : noted.clone();
    }

    @Override
    public Map<String, Document> said(long now, String topic) {
        Map<String, Document> said = new TreeMap<>();
        long lease = lease();
        holdings.byMember.forEach(
                (member, holding) -> {
                    Document d = holding.documents.get(topic);
                    if (d != null && (holding == own || now - holding.heardAt() <= lease)) {
                        said.put(member, d);
                    }
                });
        return said;
    }

    /** For how long what a member says counts since it was last heard anew, in microseconds. */
    public long lease() {
        return Heartbeat.lease(size());
    }

    @Override
    public long age(long now, String member) {
        Holding holding = holdings.byMember.get(member);
        return holding == own ? 0 : holding == null ? NEVER : now - holding.heardAt();
    }

    @Override
    public void raise(long now, String topic, byte[] reason) {
        if (topic.isEmpty() || topic.length() > LONGEST_TOPIC || reason.length > LONGEST_REASON) {
            holdings.refuse(RejectionReason.BYTES, self);
        } else {
            intake.merge(now, own, new Flag(topic, self, reason.clone()));
        }
    }

    @Override
    public Map<String, Flag> raised(String topic) {
        Map<String, Flag> raised = new TreeMap<>();
        holdings.byMember.forEach(
                (member, holding) -> {
                    if (holding.flags.containsKey(topic)) {
                        raised.put(member, holding.flags.get(topic));
                    }
                });
        return raised;
    }

    @Override
    public void count(long now, String topic, long window, long[] values) {
        if (topic.isEmpty() || topic.length() > LONGEST_TOPIC || values.length > MOST_VALUES) {
            holdings.refuse(RejectionReason.BYTES, self);
        } else {
            intake.merge(now, own, new Tally(topic, self, window, values.clone()));
        }
    }

    @Override
    public Map<String, Tally> counted(String topic, long window) {
        Map<String, Tally> counted = new TreeMap<>();
        holdings.byMember.forEach(
                (member, holding) -> {
                    Map<Long, Tally> windows = holding.tallies.get(topic);
                    if (windows != null && windows.containsKey(window)) {
                        counted.put(member, windows.get(window));
                    }
                });
        return counted;
    }

    @Override
    public void listen(Listener listener) {
        intake.listen(listener);
    }
}
