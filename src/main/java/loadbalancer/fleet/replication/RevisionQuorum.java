package loadbalancer.fleet.replication;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.fleet.replication.Item.Document;

/**
 * Counts which members of the roster say, each for itself, that they hold a revision. A vote is a
 * pledged document whose body is the revision's digest; one that votes otherwise has withdrawn it.
 *
 * <p>A vote counts once it has stood here for a while: who forges votes in the names of others is
 * contested by them as soon as they hear of it, and that has to get here first. It counts no longer
 * when its member was unheard for the lease, is contested, or has started anew without saying it
 * again. Pure but for what it has seen; for one thread.
 */
public final class RevisionQuorum {
    /**
     * Microseconds for which a vote must stand: a statement reaches 100 members within some 2 s,
     * and what its true author says of it as long again.
     */
    public static final long SETTLED = 5_000_000;

    private record Seen(long incarnation, byte[] digest, long since) {}

    private final Shared shared;
    private final String topic;
    private final long lease;
    private final long settled;
    private final Map<String, Seen> seen = new HashMap<>();

    /**
     * On one topic.
     *
     * @param lease for how long a vote counts since its member was last heard, in microseconds;
     *     that of {@link Shared#said} counts too if it is shorter
     * @param settled for how long another's vote must have stood; {@link #SETTLED} as a rule
     */
    public RevisionQuorum(Shared shared, String topic, long lease, long settled) {
        this.shared = shared;
        this.topic = topic;
        this.lease = lease;
        this.settled = settled;
    }

    /**
     * Votes for this digest, in place of any other; false if this member doesn't know enough to
     * vote.
     */
    public boolean cast(long now, byte[] digest) {
        if (shared.mayVote()) {
            shared.pledge(now, topic, digest);
        }
        return shared.mayVote();
    }

    /**
     * Takes note of what is voted; to be called when the topic changes, so that votes settle from
     * then.
     */
    public void look(long now) {
        Map<String, Document> said = shared.said(now, topic);
        seen.keySet().retainAll(said.keySet());
        said.forEach(
                (member, d) -> {
                    Seen before = seen.get(member);
                    if (before == null
                            || before.incarnation != d.incarnation()
                            || !Arrays.equals(before.digest, d.body())) {
                        seen.put(member, new Seen(d.incarnation(), d.body(), now));
                    }
                });
    }

    /** Who holds the revision of that digest, as far as it counts. */
    public Set<String> holders(long now, byte[] digest) {
        look(now);
        Set<String> holders = new TreeSet<>();
        seen.forEach(
                (member, vote) -> {
                    boolean self = member.equals(shared.self());
                    if (Arrays.equals(vote.digest, digest)
                            && shared.counts(member)
                            && (self
                                    || shared.age(now, member) <= lease
                                            && now - vote.since >= settled)) {
                        holders.add(member);
                    }
                });
        return holders;
    }

    /** Whether a majority of the roster holds it. */
    public boolean carried(long now, byte[] digest) {
        return holders(now, digest).size() >= shared.majority();
    }
}
