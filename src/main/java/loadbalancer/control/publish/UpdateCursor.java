package loadbalancer.control.publish;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;

/**
 * Where one subscriber stands in the order of last changes. An update is a walk from what the
 * subscriber holds to the end; a snapshot is a walk from the start.
 */
final class UpdateCursor {
    private final Scope scope;
    private Revision from;
    private Position position;
    private Position complete;
    private int part;
    private long bytesInUpdate;
    private Revision told;
    private Digest toldDigest;

    /**
     * Starts from the revision that the subscriber holds; with a snapshot where that can't be
     * followed.
     */
    UpdateCursor(ResourceIndex index, Scope scope, Revision held) {
        this.scope = scope;
        startAt(index, held);
        told = nothingTold(index);
    }

    /**
     * Starts at the end, as the subscriber holds all of the scope already: it lacks the newest
     * revision at most, as after a start of the writer, whose new epoch changes no resource.
     */
    static UpdateCursor atEnd(ResourceIndex index, Scope scope, Revision held) {
        UpdateCursor cursor = new UpdateCursor(index, scope, held);
        if (!held.equals(Revision.NONE)) {
            cursor.start(held, index.end(), index.end());
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

    /** Behind all that was sent. */
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
    Revision told() {
        return told;
    }

    /** Whether there is something to send. */
    boolean isBehind(ResourceIndex index) {
        return !index.revision().equals(told);
    }

    /**
     * Starts anew with a snapshot where a deletion that the walk had still to meet is forgotten.
     */
    void restartIfDeletionsAreForgotten(ResourceIndex index) {
        Position horizon = index.horizon();
        if (position.isBefore(horizon) && complete.isBefore(horizon)) {
            startSnapshot(index);
        }
    }

    /** Takes note that a part was sent. */
    void advance(ResourceIndex index, UpdateLine sent) {
        if (!sent.isLast()) {
            position = sent.reached();
            bytesInUpdate += sent.line().length;
            part++;
            return;
        }
        told = index.revision();
        toldDigest = sent.digest();
        start(told, index.end(), index.end());
    }

    /** The update to a revision was refused: what comes after it builds on what is in force. */
    void refused(ResourceIndex index, Revision inForce, Revision refused) {
        startAt(index, inForce);
        told = refused;
        toldDigest = null;
    }

    /** The state was replaced: whoever was not told exactly its content starts with a snapshot. */
    void stateReplaced(ResourceIndex index, ResourceState state) {
        boolean holdsAll = part == 0 && told != null && state.digest(scope).equals(toldDigest);
        if (holdsAll) {
            start(told, index.end(), index.end());
        } else {
            startSnapshot(index);
            told = nothingTold(index);
        }
    }

    /** An empty state is not told to anybody; its first change is. */
    private static Revision nothingTold(ResourceIndex index) {
        return index.revision().equals(Revision.NONE) ? Revision.NONE : null;
    }

    private void startAt(ResourceIndex index, Revision held) {
        if (index.canFollow(held)) {
            start(held, Position.endOf(held), Position.endOf(held));
        } else {
            startSnapshot(index);
        }
    }

    private void startSnapshot(ResourceIndex index) {
        start(Revision.NONE, Position.START, index.end());
    }

    /**
     * Deletions up to {@code complete} don't concern the subscriber: what it is sent does without
     * them.
     */
    private void start(Revision newFrom, Position newPosition, Position newComplete) {
        from = newFrom;
        position = newPosition;
        complete = newComplete;
        part = 0;
        bytesInUpdate = 0;
    }
}
