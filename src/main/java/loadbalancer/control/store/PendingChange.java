package loadbalancer.control.store;

import loadbalancer.control.model.Change;
import loadbalancer.control.model.Revision;

/**
 * A checked change with the revision that it will have, until it is applied. The thread that
 * appends it to the log may be another one than the store's owner.
 */
public final class PendingChange {
    private final Revision revision;
    private final Change change;
    private final byte[] frame;
    private volatile boolean appended;

    PendingChange(Revision revision, Change change, byte[] frame) {
        this.revision = revision;
        this.change = change;
        this.frame = frame;
    }

    /** The revision of the state once the change is applied. */
    public Revision revision() {
        return revision;
    }

    /** The change itself. */
    public Change change() {
        return change;
    }

    byte[] frame() {
        return frame;
    }

    boolean isAppended() {
        return appended;
    }

    void markAppended() {
        appended = true;
    }
}
