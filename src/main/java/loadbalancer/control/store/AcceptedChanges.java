package loadbalancer.control.store;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import loadbalancer.control.model.Revision;

/**
 * The ids of the newest accepted changes, so that a retried change is recognised. For one thread.
 */
final class AcceptedChanges {
    private final Map<String, Revision> revisions = new LinkedHashMap<>();
    private final int capacity;

    AcceptedChanges(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a change, and removes the oldest one beyond the capacity. */
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

    /** Oldest first; a view. */
    Map<String, Revision> all() {
        return Collections.unmodifiableMap(revisions);
    }
}
