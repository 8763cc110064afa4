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
 * Agrees on the calendar's revision with the other members. Each member votes for the revisions of
 * its own operators' file. A member that has counted the votes of a majority of the roster treats
 * the revision as agreed permanently and votes for it too, so that the agreement survives the
 * removal of the files. Of the agreed revisions that are due, the one with the highest number is in
 * effect.
 *
 * <p>Called from the fleet's thread. {@code nowMicros} is the time of the monotonic clock, {@code
 * utcMicros} the fleet's time, both in microseconds.
 */
public final class RevisionAgreement {
    /**
     * How long a member that cannot reach a majority keeps the previous revision when one of its
     * own is due. Partitions shorter than this heal without an operator.
     */
    public static final long LEASE_MICROS = 600_000_000;

    /** A member counts as connected for this long after it last reached a majority. */
    private static final long MAJORITY_TIMEOUT_MICROS = 10_000_000;

    /** Votes for own files: the revision in effect, the next one and a correction of that. */
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
     * Creates the agreement of a member that starts now.
     *
     * @param log receives log lines for operators
     */
    public RevisionAgreement(long nowMicros, SharedState shared, Consumer<String> log) {
        this.shared = shared;
        this.votes = new RevisionVotes(shared, log);
        this.texts = new RevisionTexts(shared, log);
        this.majoritySeenMicros = nowMicros;
    }

    /** Returns whether a replicated item belongs to the calendar. */
    public static boolean isCalendarItem(Item item) {
        return item.topic().startsWith(CalendarTopics.PREFIX);
    }

    /**
     * Votes for the revision of this member's own file, and revokes the revisions that it lists.
     *
     * @throws RevisionRejectedException if the number is known with different content or is lower
     *     than that of an earlier file
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
                            + " is already known with different content;"
                            + " a change needs a higher revision number");
        }
        if (!ownVotes.isEmpty() && ownVotes.get(0).number() > vote.number()) {
            throw new RevisionRejectedException(
                    "revision "
                            + vote.number()
                            + " is lower than revision "
                            + ownVotes.get(0).number()
                            + " of an earlier file");
        }
    }

    /** Restores a revision that was agreed before a restart; agreement is permanent. */
    public void restoreAgreed(CalendarRevision revision) {
        texts.add(revision);
        agreed.add(toVote(revision));
    }

    /** Recounts the votes; to be called when an item of the calendar changes and once a second. */
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

    /** Returns whether an eligible voter has revoked the revision. */
    private boolean isRevoked(String digest) {
        return shared.flags(CalendarTopics.revoked(digest)).keySet().stream()
                .anyMatch(shared::isEligibleVoter);
    }

    /** Returns the revision in effect at {@code utcMicros}. */
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

    /**
     * Limits the validity of the agreed revision: until the next own revision is due, and by the
     * lease if an own revision that is due may be agreed in another part of the fleet.
     */
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

    /** Returns the texts of agreed revisions, to be saved across a restart. */
    public List<byte[]> agreedTexts() {
        return texts.available(agreed.ascending());
    }

    /**
     * Returns the texts of own files, lowest number first. They are saved because other members may
     * have counted this member's votes for them.
     */
    public List<byte[]> ownTexts() {
        return texts.available(ownVotes.stream().sorted(BY_NUMBER).toList());
    }
}
