package loadbalancer.schedule.agreement;

import java.util.Collection;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import loadbalancer.schedule.agreement.RevisionStatement.Vote;

/** Revisions that this member knows to be agreed, one for each number. Not thread-safe. */
final class AgreedRevisions {
    /** The one in effect and three to come. */
    private static final int MAX_REVISIONS = 4;

    private final NavigableMap<Long, Vote> byNumber = new TreeMap<>();

    /**
     * Adds one. Two of one number can both have a majority only by members that vote twice; then
     * all choose the lower digest.
     */
    void add(Vote vote) {
        byNumber.merge(
                vote.number(),
                vote,
                (one, other) -> one.digest().compareTo(other.digest()) <= 0 ? one : other);
    }

    /** Null if none of that number is agreed. */
    Vote get(long number) {
        return byNumber.get(number);
    }

    boolean hasNumber(long number) {
        return byNumber.containsKey(number);
    }

    boolean hasDigest(String digest) {
        return byNumber.values().stream().anyMatch(vote -> vote.digest().equals(digest));
    }

    /** The lowest number first. */
    Collection<Vote> ascending() {
        return byNumber.values();
    }

    /** The highest number first. */
    Collection<Vote> descending() {
        return byNumber.descendingMap().values();
    }

    /** The highest one whose instant has come, microseconds of UTC. */
    Optional<Vote> dueAt(long utcMicros) {
        return descending().stream()
                .filter(vote -> vote.effectiveFromMicros() <= utcMicros)
                .findFirst();
    }

    /** When a higher one than {@code current} is due, at the earliest; null for none current. */
    long nextDueMicros(Vote current) {
        return byNumber
                .tailMap(current == null ? Long.MIN_VALUE : current.number(), false)
                .values()
                .stream()
                .mapToLong(Vote::effectiveFromMicros)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Forgets what is older than the current one, and all to come but the highest numbers. */
    void prune(Vote current) {
        if (current != null) {
            byNumber.headMap(current.number()).clear();
        }
        while (byNumber.size() > MAX_REVISIONS) {
            long lowest = byNumber.firstKey();
            boolean isCurrent = current != null && lowest == current.number();
            byNumber.remove(isCurrent ? byNumber.higherKey(lowest) : lowest);
        }
    }
}
