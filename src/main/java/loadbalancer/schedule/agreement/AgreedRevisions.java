package loadbalancer.schedule.agreement;

import java.util.Collection;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import loadbalancer.schedule.agreement.RevisionStatement.Vote;

/** The revisions that this member knows to be agreed, one per number. Not thread-safe. */
final class AgreedRevisions {
    /** The revision in effect and three later ones. */
    private static final int MAX_REVISIONS = 4;

    private final NavigableMap<Long, Vote> byNumber = new TreeMap<>();

    /**
     * Adds an agreed revision. Two revisions with the same number can both reach a majority only if
     * members vote twice; every member then chooses the lower digest.
     */
    void add(Vote vote) {
        byNumber.merge(
                vote.number(),
                vote,
                (one, other) -> one.digest().compareTo(other.digest()) <= 0 ? one : other);
    }

    /** Returns the agreed revision with a number, or null if there is none. */
    Vote get(long number) {
        return byNumber.get(number);
    }

    boolean hasNumber(long number) {
        return byNumber.containsKey(number);
    }

    boolean hasDigest(String digest) {
        return byNumber.values().stream().anyMatch(vote -> vote.digest().equals(digest));
    }

    /** Returns the revisions, lowest number first. */
    Collection<Vote> ascending() {
        return byNumber.values();
    }

    /** Returns the revisions, highest number first. */
    Collection<Vote> descending() {
        return byNumber.descendingMap().values();
    }

    /** Returns the revision with the highest number that is due at a time, microseconds of UTC. */
    Optional<Vote> dueAt(long utcMicros) {
        return descending().stream()
                .filter(vote -> vote.effectiveFromMicros() <= utcMicros)
                .findFirst();
    }

    /**
     * Returns the earliest time at which a revision with a higher number than {@code current} is
     * due; {@code current} is null if no revision is in effect.
     */
    long nextDueMicros(Vote current) {
        return byNumber
                .tailMap(current == null ? Long.MIN_VALUE : current.number(), false)
                .values()
                .stream()
                .mapToLong(Vote::effectiveFromMicros)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Removes the revisions older than {@code current} and, beyond {@link #MAX_REVISIONS}, the
     * lowest of the later numbers.
     */
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
