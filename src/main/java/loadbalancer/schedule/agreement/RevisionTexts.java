package loadbalancer.schedule.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.schedule.agreement.RevisionStatement.Vote;
import loadbalancer.schedule.window.CalendarFile;
import loadbalancer.schedule.window.CalendarRevision;
import loadbalancer.schedule.window.InvalidScheduleException;

/**
 * Stores the revisions whose text this member has, by digest, and exchanges texts with members that
 * lack them. Called from the fleet's thread; times are microseconds of the monotonic clock.
 */
final class RevisionTexts {
    /** Number of members that offer a text, since a single one might claim it but not send it. */
    private static final int OFFERING_MEMBERS = 3;

    private final SharedState shared;
    private final Consumer<String> log;
    private final Map<String, CalendarRevision> revisionByDigest = new HashMap<>();
    private final Set<String> unreadableDigests = new TreeSet<>();

    /** Digest of the text that this member offers; empty if it offers none. */
    private String offeredDigest = "";

    RevisionTexts(SharedState shared, Consumer<String> log) {
        this.shared = shared;
        this.log = log;
    }

    void add(CalendarRevision revision) {
        revisionByDigest.put(revision.digest(), revision);
    }

    boolean has(String digest) {
        return revisionByDigest.containsKey(digest);
    }

    /** Returns the revision with a digest, or null if its text is missing. */
    CalendarRevision get(String digest) {
        return revisionByDigest.get(digest);
    }

    /** Returns the available texts of the revisions voted for, in the order of the votes. */
    List<byte[]> available(Collection<Vote> votes) {
        return votes.stream()
                .filter(vote -> has(vote.digest()))
                .map(vote -> get(vote.digest()).text())
                .toList();
    }

    /** Reads missing texts of agreed revisions from other members, checked by their digest. */
    void receive(long nowMicros, Collection<Vote> agreed) {
        Set<String> missing = new HashSet<>();
        for (Vote vote : agreed) {
            if (!has(vote.digest()) && !unreadableDigests.contains(vote.digest())) {
                missing.add(vote.digest());
            }
        }
        if (missing.isEmpty()) {
            return;
        }
        for (Document document : shared.documents(nowMicros, CalendarTopics.TEXT).values()) {
            String digest = CalendarFile.digest(document.body());
            if (missing.remove(digest)) {
                parse(document.body(), digest);
            }
        }
    }

    private void parse(byte[] text, String digest) {
        try {
            add(CalendarFile.parse("calendar from the fleet", text));
        } catch (InvalidScheduleException e) {
            unreadableDigests.add(digest);
            log.accept(
                    e.getMessage()
                            + "; weight factors are neutral while this revision is in effect");
        }
    }

    /**
     * Offers the first text that a present member lacks, if this member is one of the first by name
     * that have it.
     *
     * @param agreed the agreed revisions, highest number first
     */
    void offer(long nowMicros, Collection<Vote> agreed, Map<String, RevisionStatement> statements) {
        String digest = "";
        for (Vote vote : agreed) {
            if (isMissedByAny(vote, statements)
                    && offeringMembers(vote, statements).contains(shared.self())) {
                digest = vote.digest();
                break;
            }
        }
        if (!digest.equals(offeredDigest)) {
            offeredDigest = digest;
            byte[] body = digest.isEmpty() ? new byte[0] : get(digest).text();
            shared.publish(nowMicros, CalendarTopics.TEXT, body);
        }
    }

    private boolean isMissedByAny(Vote vote, Map<String, RevisionStatement> statements) {
        return shared.roster().stream()
                .filter(shared::isPresent)
                .anyMatch(
                        member ->
                                !statements.containsKey(member)
                                        || !statements.get(member).votes().contains(vote));
    }

    private List<String> offeringMembers(Vote vote, Map<String, RevisionStatement> statements) {
        List<String> members = new ArrayList<>();
        statements.forEach(
                (member, statement) -> {
                    boolean isReachable = member.equals(shared.self()) || shared.isPresent(member);
                    if (statement.votes().contains(vote) && isReachable) {
                        members.add(member);
                    }
                });
        return members.stream().sorted().limit(OFFERING_MEMBERS).toList();
    }

    /** Removes all digests that neither an own nor an agreed vote uses. */
    void retain(Predicate<String> isOwn, Predicate<String> isAgreed) {
        revisionByDigest.keySet().removeIf(isOwn.or(isAgreed).negate());
        unreadableDigests.removeIf(isAgreed.negate());
    }
}
