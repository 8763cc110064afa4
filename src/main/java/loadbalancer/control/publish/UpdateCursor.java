package loadbalancer.control.publish;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;

/**
 * The position of one subscriber in the order of last changes. An update is a walk from the
 * revision in force there to the end; a snapshot is a walk from the start. For the publisher's
 * thread.
 */
final class UpdateCursor {
    private final Scope scope;
    private Revision from;
    private Position position;
    private Position complete;
    private int part;
    private long bytesInUpdate;
    private Revision sentRevision;
    private Digest sentDigest;

    /**
     * Starts from the revision in force at the subscriber; with a snapshot where that can't be
     * followed.
     */
    UpdateCursor(ResourceIndex index, Scope scope, Revision inForce) {
        this.scope = scope;
        startAt(index, inForce);
        sentRevision = nothingSent(index);
    }

    /**
     * Starts at the end, as the subscriber has all of the scope already: it lacks the newest
     * revision at most, as after a start of the writer, whose new epoch changes no resource.
     */
    static UpdateCursor atEnd(ResourceIndex index, Scope scope, Revision inForce) {
        UpdateCursor cursor = new UpdateCursor(index, scope, inForce);
        if (!inForce.equals(Revision.NONE)) {
            cursor.start(inForce, index.end(), index.end());
        }
        return cursor;
    }

    /** The services that the subscriber wants. */
    Scope scope() {
        return scope;
    }

    /** The revision that the update builds on. */
    Revision from() {
        return from;
    }

    /** Behind the last entry that was sent. */
    Position position() {
        return position;
    }

    /** Number of the next part. */
    int part() {
        return part;
    }

    /** Bytes of the update's parts sent up to now. */
    long bytesInUpdate() {
        return bytesInUpdate;
    }

    /**
     * The last revision that a completion was sent for; null if none was, {@link Revision#NONE}
     * before the first change.
     */
    Revision sentRevision() {
        return sentRevision;
    }

    /** Whether there is something to send. */
    boolean isBehind(ResourceIndex index) {
        return !index.revision().equals(sentRevision);
    }

    /**
     * Starts anew with a snapshot where a deletion that the walk had still to send is not retained.
     */
    void restartIfDeletionsAreDiscarded(ResourceIndex index) {
        Position horizon = index.horizon();
        if (position.isBefore(horizon) && complete.isBefore(horizon)) {
            startSnapshot(index);
        }
    }

    /** Moves behind a part that was sent. */
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

    /** The update to a revision was rejected: the next one builds on what is in force. */
    void rejected(ResourceIndex index, Revision inForce, Revision rejected) {
        startAt(index, inForce);
        sentRevision = rejected;
        sentDigest = null;
    }

    /**
     * The state was replaced: a subscriber that was not sent exactly its content gets a snapshot.
     */
    void stateReplaced(ResourceIndex index, ResourceState state) {
        boolean isCurrent =
                part == 0 && sentRevision != null && state.digest(scope).equals(sentDigest);
        if (isCurrent) {
            start(sentRevision, index.end(), index.end());
        } else {
            startSnapshot(index);
            sentRevision = nothingSent(index);
        }
    }

    /** An empty state is not sent; its first change is. */
    private static Revision nothingSent(ResourceIndex index) {
        return index.revision().equals(Revision.NONE) ? Revision.NONE : null;
    }

    private void startAt(ResourceIndex index, Revision inForce) {
        if (index.canFollow(inForce)) {
            start(inForce, Position.endOf(inForce), Position.endOf(inForce));
        } else {
            startSnapshot(index);
        }
    }

    private void startSnapshot(ResourceIndex index) {
        start(Revision.NONE, Position.START, index.end());
    }

    /** Deletions up to {@code complete} need not be sent to the subscriber. */
    private void start(Revision newFrom, Position newPosition, Position newComplete) {
        from = newFrom;
        position = newPosition;
        complete = newComplete;
        part = 0;
        bytesInUpdate = 0;
    }
}
