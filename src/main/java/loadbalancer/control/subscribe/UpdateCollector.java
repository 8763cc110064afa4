package loadbalancer.control.subscribe;

import java.util.Iterator;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.VersionedResource;

/**
 * Collects the parts of an update, then those of the next one, within bounds. A rejected update
 * stays staged: the publisher's next delta builds on it, and both are then checked and applied
 * together. Not thread-safe.
 */
final class UpdateCollector {
    /** The maximum number of resources in an update, including deletions and repetitions. */
    static final int MAX_RESOURCES = 500_000;

    /** The maximum number of bytes in an update. */
    static final long MAX_BYTES = 64 << 20;

    private final Scope scope;
    private StagedUpdate staged;
    private Revision from;
    private Revision rejected;
    private int nextPart;
    private long resources;
    private long bytes;
    private UpdatePart part;
    private Iterator<VersionedResource> puts;
    private Iterator<ResourceId> deletions;

    UpdateCollector(Scope scope) {
        this.scope = scope;
    }

    /**
     * Accepts the next part, whose resources {@link #stage} then stages. If this fails, the
     * collector must be cleared.
     *
     * @throws SubscriptionException if the part is malformed, out of order or exceeds the bounds
     */
    void begin(UpdatePart next, int lineBytes, ResourceState applied) throws SubscriptionException {
        PartCheck.check(next, scope);
        if (next.part() != nextPart) {
            throw new SubscriptionException(
                    "received part " + next.part() + ", expected part " + nextPart);
        }
        if (next.part() == 0) {
            beginUpdate(next, applied);
        } else if (!next.from().equals(from)) {
            throw new SubscriptionException(
                    "part builds on revision " + next.from() + ", its update on " + from);
        }
        checkBounds(next, lineBytes);
        nextPart++;
        part = next;
        puts = next.put().iterator();
        deletions = next.delete().iterator();
    }

    private void beginUpdate(UpdatePart first, ResourceState applied) throws SubscriptionException {
        boolean buildsOnRejected = rejected != null && first.from().equals(rejected);
        if (!buildsOnRejected) {
            clear();
            staged = stageNew(first, applied);
        }
        from = first.from();
    }

    private StagedUpdate stageNew(UpdatePart first, ResourceState applied)
            throws SubscriptionException {
        if (first.isSnapshot()) {
            return new StagedSnapshot(applied, scope);
        }
        if (first.from().equals(applied.revision())) {
            return new StagedDelta(applied, scope);
        }
        throw new SubscriptionException(
                "update builds on revision "
                        + first.from()
                        + " while "
                        + applied.revision()
                        + " is in force");
    }

    private void checkBounds(UpdatePart next, int lineBytes) throws SubscriptionException {
        resources += next.put().size() + next.delete().size();
        bytes += lineBytes;
        if (resources > MAX_RESOURCES || bytes > MAX_BYTES) {
            throw new SubscriptionException(
                    "update exceeds the limit of "
                            + MAX_RESOURCES
                            + " resources or "
                            + MAX_BYTES
                            + " bytes");
        }
    }

    /** Returns whether resources of the current part are still to be staged. */
    boolean isStaging() {
        return part != null && (puts.hasNext() || deletions.hasNext());
    }

    /** Stages up to {@code limit} more resources of the current part. */
    void stage(int limit) {
        for (int done = 0; done < limit && isStaging(); done++) {
            if (puts.hasNext()) {
                staged.put(puts.next());
            } else {
                staged.delete(deletions.next());
            }
        }
    }

    /** Returns whether all parts of the update are staged. */
    boolean isComplete() {
        return part != null && part.isLast() && !isStaging();
    }

    /** Returns the staged update. */
    StagedUpdate update() {
        return staged;
    }

    /** Returns the target of the complete update. */
    UpdatePart.Completion completion() {
        return part.completion();
    }

    /** Returns whether the update replaces the entire state. */
    boolean isSnapshot() {
        return staged instanceof StagedSnapshot;
    }

    /** Returns the target of the last rejected update that is still staged, or null. */
    Revision rejected() {
        return rejected;
    }

    /** Keeps the complete update staged after its rejection, so the next one can build on it. */
    void retainRejected() {
        rejected = part.completion().to();
        nextPart = 0;
        part = null;
    }

    /** Discards all parts and any rejected update. */
    void clear() {
        staged = null;
        from = null;
        rejected = null;
        nextPart = 0;
        resources = 0;
        bytes = 0;
        part = null;
    }
}
