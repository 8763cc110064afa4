package loadbalancer.schedule.agreement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.schedule.agreement.EffectiveRevision.State;
import loadbalancer.schedule.agreement.RevisionStatement.Vote;
import loadbalancer.schedule.window.CalendarRevision;

/**
 * Agreement on the calendar's revision. Each member votes for those that its own operators' file
 * gave it. A revision with the votes of a majority of the roster is agreed, for good, at each
 * member that has counted them; such a member votes for it too, so that agreement outlives the
 * files. Of the agreed revisions the highest number is in effect whose instant has come.
 *
 * <p>Called from the fleet's thread; {@code nowMicros} is the monotonic clock, {@code utcMicros}
 * the fleet's time, both in microseconds.
 */
public final class RevisionAgreement {
    /**
     * For so long a member without contact to a majority, with a revision of its own that is due,
     * stays with the one before: shorter partitions heal without an operator.
     */
    public static final long LEASE_MICROS = 600_000_000;

    /** A majority seen so long ago still counts as connected. */
    private static final long MAJORITY_TIMEOUT_MICROS = 10_000_000;

    /** Of own files: the one in effect, the next one, and one to correct it. */
    private static final int MAX_OWN_VOTES = 3;

    private static final Comparator<Vote> BY_NUMBER = Comparator.comparingLong(Vote::number);

    private final SharedState shared;
    private final RevisionVotes votes;
    private final RevisionTexts texts;
    private final AgreedRevisions agreed = new AgreedRevisions();

    /** Votes for this member's own files, the highest number first. */
    private final List<Vote> ownVotes = new ArrayList<>();

    private long majoritySeenMicros;
    private RevisionStatement published = new RevisionStatement(List.of());

    /**
     * Of a member that starts now.
     *
     * @param log takes lines for operators
     */
    public RevisionAgreement(long nowMicros, SharedState shared, Consumer<String> log) {
        this.shared = shared;
        this.votes = new RevisionVotes(shared, log);
        this.texts = new RevisionTexts(shared, log);
        this.majoritySeenMicros = nowMicros;
    }

    /** Whether an item belongs to the calendar. */
    public static boolean concerns(Item item) {
        return item.topic().startsWith(CalendarTopics.PREFIX);
    }

    /**
     * Votes for a revision of this member's own file; revokes what the file revokes.
     *
     * @throws RevisionRejectedException if the number is known with other content, or too low
     */
    public void addOwnRevision(long nowMicros, CalendarRevision revision)
            throws RevisionRejectedException {
        Vote vote = toVote(revision);
        if (ownVotes.contains(vote)) {
            return;
        }
        requireNewNumber(vote);
        ownVotes.add(0, vote);
        while (ownVotes.size() > MAX_OWN_VOTES) {
            ownVotes.remove(ownVotes.size() - 1);
        }
        texts.add(revision);
        byte[] reason = ("revision " + vote.number()).getBytes(StandardCharsets.UTF_8);
        for (String digest : revision.revokedDigests()) {
            shared.raiseFlag(nowMicros, CalendarTopics.revoked(digest), reason);
        }
        recount(nowMicros);
    }

    private static Vote toVote(CalendarRevision revision) {
        return new Vote(revision.number(), revision.effectiveFromMicros(), revision.digest());
    }

    private void requireNewNumber(Vote vote) throws RevisionRejectedException {
        Vote known = agreed.get(vote.number());
        boolean isKnownOtherwise = known != null && !known.equals(vote);
        if (isKnownOtherwise || ownVotes.stream().anyMatch(own -> own.number() == vote.number())) {
            throw new RevisionRejectedException(
                    "revision "
                            + vote.number()
                            + " is known with other content; a change needs a higher number");
        }
        if (!ownVotes.isEmpty() && ownVotes.get(0).number() > vote.number()) {
            throw new RevisionRejectedException(
                    "revision "
                            + vote.number()
                            + " is older than "
                            + ownVotes.get(0).number()
                            + ", read before");
        }
    }

    /** Restores a revision that was agreed before a restart: it still is. */
    public void restoreAgreed(CalendarRevision revision) {
        texts.add(revision);
        agreed.add(toVote(revision));
    }

    /** Counts the votes again; to be called when a calendar's item changed, and once a second. */
    public void recount(long nowMicros) {
        Map<String, RevisionStatement> statements = votes.statements(nowMicros, published);
        if (shared.roster().stream().filter(this::isConnected).count() >= shared.majority()) {
            majoritySeenMicros = nowMicros;
        }
        publish(nowMicros);
        statements.replace(shared.self(), published);
        votes.agreed(statements).forEach(agreed::add);
        votes.logConflicts(statements, ownVotes);
        texts.receive(nowMicros, agreed.ascending());
        publish(nowMicros);
        texts.offer(nowMicros, agreed.descending(), statements);
    }

    private boolean isConnected(String member) {
        return shared.isEligibleVoter(member)
                && (member.equals(shared.self()) || shared.isPresent(member));
    }

    private void publish(long nowMicros) {
        List<Vote> next = new ArrayList<>();
        for (Vote vote : agreed.ascending()) {
            if (texts.has(vote.digest())) {
                next.add(vote);
            }
        }
        for (Vote vote : ownVotes) {
            if (!agreed.hasNumber(vote.number())) {
                next.add(vote);
            }
        }
        RevisionStatement statement =
                new RevisionStatement(
                        next.stream()
                                .sorted(BY_NUMBER)
                                .limit(RevisionStatement.MAX_VOTES)
                                .toList());
        if (!statement.equals(published)) {
            published = statement;
            shared.publish(nowMicros, CalendarTopics.VOTES, statement.encode());
        }
    }

    /** Whether a member that may vote has revoked the revision. */
    private boolean isRevoked(String digest) {
        return shared.flags(CalendarTopics.revoked(digest)).keySet().stream()
                .anyMatch(shared::isEligibleVoter);
    }

    /** The revision in effect at an instant of the fleet's time. */
    public EffectiveRevision effectiveAt(long nowMicros, long utcMicros) {
        Optional<Vote> due = agreed.dueAt(utcMicros);
        long untilMicros = agreed.nextDueMicros(due.orElse(null));
        prune(due.orElse(null));
        if (due.isEmpty()) {
            return new EffectiveRevision(State.NONE, 0, null, untilMicros);
        }
        Vote current = due.get();
        if (isRevoked(current.digest())) {
            return new EffectiveRevision(State.REVOKED, current.number(), null, untilMicros);
        }
        CalendarRevision revision = texts.get(current.digest());
        State state = revision == null ? State.TEXT_MISSING : State.AGREED;
        EffectiveRevision effective =
                new EffectiveRevision(state, current.number(), revision, untilMicros);
        return revision == null ? effective : withLease(nowMicros, utcMicros, effective);
    }

    /** Limits it by own revisions that are due later, and by the lease if one may be agreed. */
    private EffectiveRevision withLease(
            long nowMicros, long utcMicros, EffectiveRevision agreedRevision) {
        EffectiveRevision effective = agreedRevision;
        long sinceMajorityMicros = nowMicros - majoritySeenMicros;
        for (Vote own : ownVotes) {
            if (own.number() <= effective.number()
                    || agreed.hasNumber(own.number())
                    || isRevoked(own.digest())) {
                continue;
            }
            if (own.effectiveFromMicros() > utcMicros) {
                effective = effective.until(own.effectiveFromMicros());
            } else if (sinceMajorityMicros >= MAJORITY_TIMEOUT_MICROS) {
                long uncertainMicros =
                        Math.min(utcMicros - own.effectiveFromMicros(), sinceMajorityMicros);
                if (uncertainMicros >= LEASE_MICROS) {
                    return new EffectiveRevision(
                            State.LEASE_EXPIRED, effective.number(), null, effective.untilMicros());
                }
                effective =
                        new EffectiveRevision(
                                        State.UNCERTAIN,
                                        effective.number(),
                                        effective.revision(),
                                        effective.untilMicros())
                                .until(utcMicros + LEASE_MICROS - uncertainMicros);
            }
        }
        return effective;
    }

    private void prune(Vote current) {
        agreed.prune(current);
        texts.retain(
                digest -> ownVotes.stream().anyMatch(own -> own.digest().equals(digest)),
                agreed::hasDigest);
    }

    /** Texts of agreed revisions, to be saved over a restart. */
    public List<byte[]> agreedTexts() {
        return texts.of(agreed.ascending());
    }

    /** Texts of own files, the lowest number first, to be saved: others may have counted them. */
    public List<byte[]> ownTexts() {
        return texts.of(ownVotes.stream().sorted(BY_NUMBER).toList());
    }
}
