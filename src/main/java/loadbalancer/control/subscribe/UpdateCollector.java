package loadbalancer.control.subscribe;

import java.util.Iterator;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.VersionedResource;

/**
 * Collects the parts of one update after another, within bounds. A rejected update stays staged:
 * the publisher's next delta builds on it, and both are then checked and applied together. For one
 * thread.
 */
final class UpdateCollector {
    /** Resources in all parts of an update, deletions and repeated ones included. */
    static final int MAX_RESOURCES = 500_000;

    /** Bytes in all parts of an update. */
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
     * Takes the next part, to be staged by {@link #stage}. After a failure all is to be cleared.
     *
     * @throws SubscriptionException if the part is malformed, out of order or beyond the bounds
     */
    void begin(UpdatePart next, int lineBytes, ResourceState applied) throws SubscriptionException {
        PartCheck.check(next, scope);
        if (next.part() != nextPart) {
            throw new SubscriptionException("part " + next.part() + " instead of part " + nextPart);
        }
        if (next.part() == 0) {
            beginUpdate(next, applied);
        } else if (!next.from().equals(from)) {
            throw new SubscriptionException(
                    "a part from revision " + next.from() + " in an update from " + from);
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
                "an update from revision "
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
                    "an update of more than "
                            + MAX_RESOURCES
                            + " resources or "
                            + MAX_BYTES
                            + " bytes");
        }
    }

    /** Whether resources of a part wait to be staged. */
    boolean isStaging() {
        return part != null && (puts.hasNext() || deletions.hasNext());
    }

    /** Stages up to that many more resources of the part. */
    void stage(int limit) {
        for (int done = 0; done < limit && isStaging(); done++) {
            if (puts.hasNext()) {
                staged.put(puts.next());
            } else {
                staged.delete(deletions.next());
            }
        }
    }

    /** Whether the last part of an update is staged. */
    boolean isComplete() {
        return part != null && part.isLast() && !isStaging();
    }

    /** The update that is collected. */
    StagedUpdate update() {
        return staged;
    }

    /** Where the complete update leads. */
    UpdatePart.Completion completion() {
        return part.completion();
    }

    /** Whether the update replaces the whole state. */
    boolean isSnapshot() {
        return staged instanceof StagedSnapshot;
    }

    /** The newest revision whose update was rejected and is still staged, or null. */
    Revision rejected() {
        return rejected;
    }

    /** Keeps the complete update, which was rejected, staged for the next one to build on. */
    void retainRejected() {
        rejected = part.completion().to();
        nextPart = 0;
        part = null;
    }

    /** Discards all parts. */
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
