package loadbalancer.control.publish;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;

/**
 * The position of one subscriber in the order of last changes. An update traverses the entries from
 * the revision in force at the subscriber to the end; a snapshot traverses them from the start.
 * Confined to the publisher's thread.
 */
final class UpdateCursor {
    private final Scope scope;
    private Revision from;
    private Position position;
    private Position completeUntil;
    private int part;
    private long bytesInUpdate;
    private Revision sentRevision;
    private Digest sentDigest;

    /**
     * Creates a cursor that starts at the revision in force at the subscriber, or with a snapshot
     * if no delta can be built on that revision.
     */
    UpdateCursor(ResourceIndex index, Scope scope, Revision inForce) {
        this.scope = scope;
        startAt(index, inForce);
        sentRevision = initialSentRevision(index);
    }

    /**
     * Creates a cursor at the end, for a subscriber that has all resources of its scope already. At
     * most it has to be sent the newest revision number, for example after a restart of the writer,
     * whose new epoch changes no resource.
     */
    static UpdateCursor atEnd(ResourceIndex index, Scope scope, Revision inForce) {
        UpdateCursor cursor = new UpdateCursor(index, scope, inForce);
        if (!inForce.equals(Revision.NONE)) {
            cursor.start(inForce, index.end(), index.end());
        }
        return cursor;
    }

    /** Returns the services that the subscriber has subscribed to. */
    Scope scope() {
        return scope;
    }

    /** Returns the revision that the update builds on. */
    Revision from() {
        return from;
    }

    /** Returns the position of the last entry that was sent. */
    Position position() {
        return position;
    }

    /** Returns the number of the next part. */
    int part() {
        return part;
    }

    /** Returns the number of bytes of the current update sent so far. */
    long bytesInUpdate() {
        return bytesInUpdate;
    }

    /**
     * Returns the target of the last completed update; null if none was completed, {@link
     * Revision#NONE} before the first change.
     */
    Revision sentRevision() {
        return sentRevision;
    }

    /** Returns whether there is an update to send. */
    boolean isBehind(ResourceIndex index) {
        return !index.revision().equals(sentRevision);
    }

    /**
     * Restarts with a snapshot if a deletion that is still to be sent may no longer be retained.
     */
    void restartIfDeletionsAreDiscarded(ResourceIndex index) {
        Position horizon = index.horizon();
        if (position.isBefore(horizon) && completeUntil.isBefore(horizon)) {
            startSnapshot(index);
        }
    }

    /** Moves past a part that was sent. */
    void advance(ResourceIndex index, UpdateLine line) {
        if (!line.isLast()) {
            position = line.reached();
            bytesInUpdate += line.line().length;
            part++;
            return;
        }
        sentRevision = index.revision();
        sentDigest = line.digest();
        start(sentRevision, index.end(), index.end());
    }

    /** Builds the next update on the revision in force after an update was rejected. */
    void restartAfterRejection(ResourceIndex index, Revision inForce, Revision rejected) {
        startAt(index, inForce);
        sentRevision = rejected;
        sentDigest = null;
    }

    /**
     * Restarts with a snapshot after the state was replaced, unless exactly the content of the new
     * state was sent.
     */
    void restartAfterReplacement(ResourceIndex index, ResourceState state) {
        boolean isCurrent =
                part == 0 && sentRevision != null && state.digest(scope).equals(sentDigest);
        if (isCurrent) {
            start(sentRevision, index.end(), index.end());
        } else {
            startSnapshot(index);
            sentRevision = initialSentRevision(index);
        }
    }

    /** Returns the initial sent revision: an empty state is not sent, only its first change. */
    private static Revision initialSentRevision(ResourceIndex index) {
        return index.revision().equals(Revision.NONE) ? Revision.NONE : null;
    }

    private void startAt(ResourceIndex index, Revision inForce) {
        if (index.canSendDelta(inForce)) {
            start(inForce, Position.endOf(inForce), Position.endOf(inForce));
        } else {
            startSnapshot(index);
        }
    }

    private void startSnapshot(ResourceIndex index) {
        start(Revision.NONE, Position.START, index.end());
    }

    /** Starts an update; deletions up to {@code newCompleteUntil} need not be sent. */
    private void start(Revision newFrom, Position newPosition, Position newCompleteUntil) {
        from = newFrom;
        position = newPosition;
        completeUntil = newCompleteUntil;
        part = 0;
        bytesInUpdate = 0;
    }
}
