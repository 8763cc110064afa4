package loadbalancer.control.publish;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import loadbalancer.control.model.Revision;

/**
 * How far each epoch goes in this publisher's history. A writer that was replaced may have
 * published revisions which its successor never received; those come before the successor's in
 * order, but are no part of its history. For one thread.
 */
final class EpochHistory {
    private final NavigableMap<Long, Long> lastNumbers = new TreeMap<>();

    /** Adds a revision that belongs to the history. */
    void add(Revision revision) {
        lastNumbers.merge(revision.epoch(), revision.number(), Math::max);
    }

    /** Removes all. */
    void clear() {
        lastNumbers.clear();
    }

    /** Whether a revision is known to belong to the history. */
    boolean contains(Revision revision) {
        Long last = lastNumbers.get(revision.epoch());
        if (last == null || revision.number() > last) {
            return false;
        }
        Map.Entry<Long, Long> epochBefore = lastNumbers.lowerEntry(revision.epoch());
        return epochBefore == null || revision.number() > epochBefore.getValue();
    }
}
