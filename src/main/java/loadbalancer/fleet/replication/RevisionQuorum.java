package loadbalancer.fleet.replication;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.fleet.replication.Item.Document;

/**
 * Counts the votes of the roster for a revision. A vote is a durable document whose body is the
 * digest of the revision that its member has; a vote for another digest withdraws it.
 *
 * <p>A vote counts only after a settling time: if it is forged, its alleged author claims the
 * impersonation as soon as it receives the vote, and that claim needs time to arrive. A vote no
 * longer counts when nothing new was received from its member for a lease, or when the member has a
 * name conflict or has restarted without voting again. Times are microseconds of the shared state's
 * clock; all calls come from its thread.
 */
public final class RevisionQuorum {
    /** Default settling time: enough to gossip a vote and then a claim to the whole fleet. */
    public static final long SETTLE_MICROS = 5_000_000;

    private record Vote(long incarnation, byte[] digest, long sinceMicros) {}

    private final SharedState shared;
    private final String topic;
    private final long leaseMicros;
    private final long settleMicros;
    private final Map<String, Vote> votes = new HashMap<>();

    /**
     * Counts the votes on one topic.
     *
     * @param leaseMicros how long a vote counts after the last new item of its member; the lease of
     *     {@link SharedState#documents} applies as well
     * @param settleMicros settling time of other members' votes; usually {@link #SETTLE_MICROS}
     */
    public RevisionQuorum(SharedState shared, String topic, long leaseMicros, long settleMicros) {
        this.shared = shared;
        this.topic = topic;
        this.leaseMicros = leaseMicros;
        this.settleMicros = settleMicros;
    }

    /**
     * Votes for a digest, which withdraws an earlier vote for another; returns false if this member
     * may not vote yet.
     */
    public boolean vote(long nowMicros, byte[] digest) {
        if (shared.canVote()) {
            shared.publishDurably(nowMicros, topic, digest);
        }
        return shared.canVote();
    }

    /**
     * Records changed votes. Must be called when the topic changes, since their settling time
     * starts with this call.
     */
    public void refresh(long nowMicros) {
        Map<String, Document> documents = shared.documents(nowMicros, topic);
        votes.keySet().retainAll(documents.keySet());
        documents.forEach(
                (member, document) -> {
                    Vote before = votes.get(member);
                    if (before == null
                            || before.incarnation != document.incarnation()
                            || !Arrays.equals(before.digest, document.body())) {
                        votes.put(
                                member,
                                new Vote(document.incarnation(), document.body(), nowMicros));
                    }
                });
    }

    /** Returns the members whose vote for that digest currently counts. */
    public Set<String> voters(long nowMicros, byte[] digest) {
        refresh(nowMicros);
        Set<String> voters = new TreeSet<>();
        votes.forEach(
                (member, vote) -> {
                    if (Arrays.equals(vote.digest, digest)
                            && shared.isEligibleVoter(member)
                            && isValid(nowMicros, member, vote)) {
                        voters.add(member);
                    }
                });
        return voters;
    }

    private boolean isValid(long nowMicros, String member, Vote vote) {
        return member.equals(shared.self())
                || shared.sinceLastReceivedMicros(nowMicros, member) <= leaseMicros
                        && nowMicros - vote.sinceMicros >= settleMicros;
    }

    /** Returns whether a majority of the roster votes for that digest. */
    public boolean hasQuorum(long nowMicros, byte[] digest) {
        return voters(nowMicros, digest).size() >= shared.majority();
    }
}
