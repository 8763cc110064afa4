package loadbalancer.fleet.replication;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;

/**
 * This member's replica of the fleet's shared state. Its content depends on the set of received
 * items and not on their order; only expiry depends on time. Times are microseconds of a monotonic
 * clock; all calls come from one thread.
 */
public final class ReplicatedStore implements SharedState {
    /** Result of {@link #sinceLastReceivedMicros} for a member without any received item. */
    public static final long NEVER_RECEIVED_MICROS = Long.MAX_VALUE;

    private static final int MAX_TOPIC_CHARS = 96;

    private final String self;
    private final Set<String> roster;
    private final Membership membership;
    private final MemberReplicas replicas;
    private final DisseminationQueue disseminationQueue;
    private final MemberReplica local;
    private final DurabilityTracker durability;
    private final PublicationQueue publications;
    private final LocalRecords records;
    private final ItemReceiver receiver;
    private final Replicator replicator;

    /**
     * Creates the store.
     *
     * @param restored the state that an earlier process of this member persisted, or null
     * @param log receives single lines
     */
    public ReplicatedStore(
            long nowMicros,
            MemberIdentity identity,
            Membership membership,
            DurableMemberState restored,
            Consumer<String> log) {
        this.self = identity.name();
        this.roster = Set.copyOf(identity.roster());
        this.membership = membership;
        this.replicas = new MemberReplicas(roster, log);
        this.disseminationQueue = new DisseminationQueue(self, replicas);
        this.local = replicas.getOrCreate(nowMicros, self);
        this.durability = new DurabilityTracker(identity.isPersistent());
        this.records = new LocalRecords(durability);
        boolean isOnlyVoter = roster.stream().allMatch(self::equals);
        this.publications =
                new PublicationQueue(
                        firstIncarnation(identity, restored),
                        restored != null || isOnlyVoter,
                        durability);
        ImpersonationDetector impersonations = new ImpersonationDetector(self, log);
        this.receiver =
                new ItemReceiver(
                        replicas,
                        disseminationQueue,
                        local,
                        publications,
                        durability,
                        impersonations);
        this.replicator = new Replicator(this, receiver, impersonations);
        if (restored != null) {
            restore(nowMicros, restored);
        }
        replicator.publishQueued(nowMicros);
    }

    private static long firstIncarnation(MemberIdentity identity, DurableMemberState restored) {
        long afterRestored = restored == null ? 0 : restored.incarnation() + 1;
        return Math.max(identity.incarnation(), afterRestored);
    }

    private void restore(long nowMicros, DurableMemberState restored) {
        restored.flags().forEach(flag -> receiver.receive(nowMicros, flag));
        restored.durableDocuments().forEach(publications::addDurable);
        records.restore(restored.records());
    }

    /** Returns the part of this store that communicates with other members. */
    public Replicator replicator() {
        return replicator;
    }

    MemberReplicas replicas() {
        return replicas;
    }

    DisseminationQueue disseminationQueue() {
        return disseminationQueue;
    }

    /** Returns the replica of this member's own items. */
    MemberReplica local() {
        return local;
    }

    DurabilityTracker durability() {
        return durability;
    }

    PublicationQueue publications() {
        return publications;
    }

    LocalRecords records() {
        return records;
    }

    /** Returns the number of known members, whatever their health. */
    int fleetSize() {
        return membership.members().size();
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
    public boolean isEligibleVoter(String member) {
        MemberReplica replica = replicas.get(member);
        return roster.contains(member)
                && !membership.hasNameConflict(member)
                && (replica == null || !ImpersonationClaim.appliesTo(replica));
    }

    /** Returns the names of the members that claim to be impersonated. */
    public Set<String> impersonatedMembers() {
        Set<String> members = new TreeSet<>();
        replicas.forEach(
                (member, replica) -> {
                    if (ImpersonationClaim.appliesTo(replica)) {
                        members.add(member);
                    }
                });
        return members;
    }

    @Override
    public boolean isPresent(String member) {
        Member known = membership.member(member);
        return member.equals(self) || known != null && known.health().compareTo(Health.DEAD) < 0;
    }

    @Override
    public boolean canVote() {
        return publications.hasRecovered();
    }

    @Override
    public void publish(long nowMicros, String topic, byte[] body) {
        if (checkLimits(topic, body)) {
            publications.add(topic, body.clone());
            replicator.publishQueued(nowMicros);
        }
    }

    @Override
    public void publishDurably(long nowMicros, String topic, byte[] body) {
        if (checkLimits(topic, body)) {
            publications.addDurable(topic, body.clone());
            replicator.publishQueued(nowMicros);
        }
    }

    /**
     * Returns whether a body may be published; counts it as rejected otherwise. This member uses
     * little more than half of the budget that others grant it, since they may retain items of two
     * incarnations.
     */
    private boolean checkLimits(String topic, byte[] body) {
        Document old = local.document(topic);
        int oldBytes = old == null ? 0 : old.body().length;
        int bytes = local.bytes() + publications.bytes() + body.length - oldBytes;
        int maxBytes = ReplicationLimits.budgetBytes(roster.size()) / 2 + MAX_BODY_BYTES / 2;
        if (!isValidTopic(topic) || body.length > MAX_BODY_BYTES || bytes > maxBytes) {
            replicas.reject(RejectionReason.BYTES, self);
            return false;
        }
        int topics = local.documentCount() + publications.size();
        if (old == null && topics >= ReplicationLimits.MAX_DOCUMENTS) {
            replicas.reject(RejectionReason.TOPICS, self);
            return false;
        }
        return true;
    }

    private static boolean isValidTopic(String topic) {
        return !topic.isEmpty() && topic.length() <= MAX_TOPIC_CHARS;
    }

    @Override
    public void storeRecord(String key, byte[] bytes) {
        if (checkLimits(key, bytes)) {
            records.put(key, bytes.clone());
        }
    }

    @Override
    public byte[] storedRecord(String key) {
        return records.get(key);
    }

    @Override
    public Map<String, Document> documents(long nowMicros, String topic) {
        Map<String, Document> documents = new TreeMap<>();
        long leaseMicros = leaseMicros();
        replicas.forEach(
                (member, replica) -> {
                    Document document = replica.document(topic);
                    boolean isLeaseValid =
                            replica == local
                                    || nowMicros - replica.lastReceivedMicros() <= leaseMicros;
                    if (document != null && isLeaseValid) {
                        documents.put(member, document);
                    }
                });
        return documents;
    }

    /** Returns how long a member's documents are valid after its last new item, in microseconds. */
    public long leaseMicros() {
        return Heartbeat.leaseMicros(fleetSize());
    }

    @Override
    public long sinceLastReceivedMicros(long nowMicros, String member) {
        MemberReplica replica = replicas.get(member);
        if (replica == local) {
            return 0;
        }
        return replica == null ? NEVER_RECEIVED_MICROS : nowMicros - replica.lastReceivedMicros();
    }

    @Override
    public void raiseFlag(long nowMicros, String topic, byte[] reason) {
        if (isValidTopic(topic) && reason.length <= MAX_REASON_BYTES) {
            receiver.merge(nowMicros, local, new Flag(topic, self, reason.clone()));
        } else {
            replicas.reject(RejectionReason.BYTES, self);
        }
    }

    @Override
    public Map<String, Flag> flags(String topic) {
        Map<String, Flag> flags = new TreeMap<>();
        replicas.forEach(
                (member, replica) -> {
                    Flag flag = replica.flag(topic);
                    if (flag != null) {
                        flags.put(member, flag);
                    }
                });
        return flags;
    }

    @Override
    public void publishCounters(long nowMicros, String topic, long window, long[] values) {
        if (isValidTopic(topic) && values.length <= MAX_COUNTER_VALUES) {
            receiver.merge(nowMicros, local, new Counters(topic, self, window, values.clone()));
        } else {
            replicas.reject(RejectionReason.BYTES, self);
        }
    }

    @Override
    public Map<String, Counters> counters(String topic, long window) {
        Map<String, Counters> counters = new TreeMap<>();
        replicas.forEach(
                (member, replica) -> {
                    Counters counted = replica.counters(topic, window);
                    if (counted != null) {
                        counters.put(member, counted);
                    }
                });
        return counters;
    }

    @Override
    public void addListener(Listener listener) {
        receiver.addListener(listener);
    }
}
