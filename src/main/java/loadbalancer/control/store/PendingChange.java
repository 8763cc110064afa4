package loadbalancer.control.store;

import loadbalancer.control.model.Change;
import loadbalancer.control.model.Revision;

/**
 * A checked change that is not applied yet, with the revision assigned to it. It may be appended to
 * the log on another thread than that of the store's owner.
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

    /** Returns the revision of the state after the change is applied. */
    public Revision revision() {
        return revision;
    }

    /** Returns the change as the client sent it. */
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
