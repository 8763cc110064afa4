package loadbalancer.schedule.agreement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.schedule.agreement.RevisionStatement.Vote;

/**
 * Counts the roster's votes for revisions, at most one per member and number. Called from the
 * fleet's thread; times are microseconds of the monotonic clock.
 */
final class RevisionVotes {
    private final SharedState shared;
    private final Consumer<String> log;
    private final Map<String, Decoded> decodedByMember = new HashMap<>();
    private final Set<String> loggedUnreadable = new HashSet<>();
    private final Set<Long> loggedConflicts = new HashSet<>();

    /**
     * A cached decoding result, empty if unreadable; most documents do not change between counts.
     */
    private record Decoded(Document document, Optional<RevisionStatement> statement) {}

    RevisionVotes(SharedState shared, Consumer<String> log) {
        this.shared = shared;
        this.log = log;
    }

    /** Returns the statements of all eligible voters; {@code own} is this member's. */
    Map<String, RevisionStatement> statements(long nowMicros, RevisionStatement own) {
        Map<String, RevisionStatement> statements = new LinkedHashMap<>();
        shared.documents(nowMicros, CalendarTopics.VOTES)
                .forEach(
                        (member, document) -> {
                            if (shared.isEligibleVoter(member) && !member.equals(shared.self())) {
                                decode(member, document)
                                        .ifPresent(statement -> statements.put(member, statement));
                            }
                        });
        if (shared.isEligibleVoter(shared.self())) {
            statements.put(shared.self(), own);
        }
        return statements;
    }

    private Optional<RevisionStatement> decode(String member, Document document) {
        Decoded decoded = decodedByMember.get(member);
        if (decoded == null || decoded.document != document) {
            decoded = new Decoded(document, RevisionStatement.decode(document.body()));
            decodedByMember.put(member, decoded);
        }
        if (decoded.statement.isEmpty() && loggedUnreadable.add(member)) {
            log.accept("calendar statement of member " + member + " cannot be decoded");
        }
        return decoded.statement;
    }

    /**
     * Returns the revisions that a majority of the roster votes for. Two different votes of one
     * member for the same number are both ignored.
     */
    Set<Vote> agreed(Map<String, RevisionStatement> statements) {
        Map<Vote, Integer> counts = new HashMap<>();
        for (RevisionStatement statement : statements.values()) {
            Map<Long, Set<Vote>> votesByNumber = new HashMap<>();
            for (Vote vote : statement.votes()) {
                votesByNumber.computeIfAbsent(vote.number(), number -> new HashSet<>()).add(vote);
            }
            votesByNumber.values().stream()
                    .filter(votes -> votes.size() == 1)
                    .forEach(votes -> counts.merge(votes.iterator().next(), 1, Integer::sum));
        }
        counts.values().removeIf(count -> count < shared.majority());
        return counts.keySet();
    }

    /**
     * Logs, once per own number, that other members vote for different content with this number.
     */
    void logConflicts(Map<String, RevisionStatement> statements, List<Vote> own) {
        for (Vote vote : own) {
            Map<String, Integer> votesByDigest = votesByDigest(statements, vote.number());
            if (votesByDigest.size() > 1 && loggedConflicts.add(vote.number())) {
                log.accept(
                        "revision "
                                + vote.number()
                                + " has votes for different contents: "
                                + votesByDigest
                                + "; only a content with at least "
                                + shared.majority()
                                + " votes takes effect");
            }
        }
    }

    private static Map<String, Integer> votesByDigest(
            Map<String, RevisionStatement> statements, long number) {
        Map<String, Integer> votes = new TreeMap<>();
        for (RevisionStatement statement : statements.values()) {
            for (Vote vote : statement.votes()) {
                if (vote.number() == number) {
                    votes.merge(vote.digest(), 1, Integer::sum);
                }
            }
        }
        return votes;
    }
}
