package loadbalancer.control.store;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import loadbalancer.control.model.Revision;

/**
 * The ids and revisions of the newest accepted changes, by which retried changes are recognized.
 * Not thread-safe.
 */
final class AcceptedChanges {
    private final Map<String, Revision> revisions = new LinkedHashMap<>();
    private final int capacity;

    AcceptedChanges(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a change; removes the oldest change if the capacity is exceeded. */
    void add(String changeId, Revision revision) {
        revisions.remove(changeId);
        revisions.put(changeId, revision);
        if (revisions.size() > capacity) {
            revisions.remove(revisions.keySet().iterator().next());
        }
    }

    Optional<Revision> revisionOf(String changeId) {
        return Optional.ofNullable(revisions.get(changeId));
    }

    /** Returns an unmodifiable view of the changes, oldest first. */
    Map<String, Revision> all() {
        return Collections.unmodifiableMap(revisions);
    }
}
