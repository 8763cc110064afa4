package loadbalancer.control.subscribe;

import java.util.Iterator;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.VersionedResource;

/**
 * Collects the parts of one update after another, in bounds. An update that was refused stays
 * staged: the publisher's next delta builds on it, and both are then checked and applied together.
 */
final class UpdateCollector {
    /** Resources in all parts of an update, deletions and repeated ones included. */
    static final int MAX_RESOURCES = 500_000;

    /** Bytes in all parts of an update. */
    static final long MAX_BYTES = 64 << 20;

    private final Scope scope;
    private StagedUpdate staged;
    private Revision from;
    private Revision refused;
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
     */
    void begin(UpdatePart next, int lineBytes, ResourceState held) throws SubscriptionException {
        PartCheck.check(next, scope);
        if (next.part() != nextPart) {
            throw new SubscriptionException("part " + next.part() + " instead of part " + nextPart);
        }
        if (next.part() == 0) {
            beginUpdate(next, held);
        } else if (!next.from().equals(from)) {
            throw new SubscriptionException(
                    "a part from revision " + next.from() + " in an update from " + from);
        }
        count(next, lineBytes);
        nextPart++;
        part = next;
        puts = next.put().iterator();
        deletions = next.delete().iterator();
    }

    private void beginUpdate(UpdatePart first, ResourceState held) throws SubscriptionException {
        boolean buildsOnRefused = refused != null && first.from().equals(refused);
        if (!buildsOnRefused) {
            clear();
            staged = stageNew(first, held);
        }
        from = first.from();
    }

    private StagedUpdate stageNew(UpdatePart first, ResourceState held)
            throws SubscriptionException {
        if (first.isSnapshot()) {
            return new StagedSnapshot(held, scope);
        }
        if (first.from().equals(held.revision())) {
            return new StagedDelta(held, scope);
        }
        throw new SubscriptionException(
                "an update from revision "
                        + first.from()
                        + " while "
                        + held.revision()
                        + " is in force");
    }

    private void count(UpdatePart next, int lineBytes) throws SubscriptionException {
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

    /** Stages some more resources of the part. */
    void stage(int most) {
        for (int done = 0; done < most && isStaging(); done++) {
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

    /** Whether the update replaces all that is held. */
    boolean isSnapshot() {
        return staged instanceof StagedSnapshot;
    }

    /** The newest revision whose update was refused and is still staged, or null. */
    Revision refused() {
        return refused;
    }

    /** Keeps the complete update, which was refused, for the next one to build on. */
    void keepRefused() {
        refused = part.completion().to();
        nextPart = 0;
        part = null;
    }

    /** Forgets all parts. */
    void clear() {
        staged = null;
        from = null;
        refused = null;
        nextPart = 0;
        resources = 0;
        bytes = 0;
        part = null;
    }
}
