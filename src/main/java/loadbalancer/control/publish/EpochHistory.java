package loadbalancer.control.publish;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import loadbalancer.control.model.Revision;

/**
 * Records the last change number of each epoch in the publisher's history. A replaced writer may
 * have published revisions that its successor never received. They are ordered before the
 * successor's revisions but are not part of its history. Not thread-safe.
 */
final class EpochHistory {
    private final NavigableMap<Long, Long> lastNumbers = new TreeMap<>();

    /** Adds a revision that belongs to the history. */
    void add(Revision revision) {
        lastNumbers.merge(revision.epoch(), revision.number(), Math::max);
    }

    /** Removes all revisions. */
    void clear() {
        lastNumbers.clear();
    }

    /** Returns whether a revision is known to belong to the history. */
    boolean contains(Revision revision) {
        Long last = lastNumbers.get(revision.epoch());
        if (last == null || revision.number() > last) {
            return false;
        }
        Map.Entry<Long, Long> previousEpoch = lastNumbers.lowerEntry(revision.epoch());
        return previousEpoch == null || revision.number() > previousEpoch.getValue();
    }
}
