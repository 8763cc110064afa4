package loadbalancer.fleet.replication;

/**
 * Numbers the changes of this member's durable state and tracks which of them are persisted. For
 * the thread of {@link ReplicatedStore}; independent of time.
 */
final class DurabilityTracker {
    private final boolean isPersistent;
    private long lastChange;
    private long lastPersisted;

    /** Creates a tracker; without persistence every change immediately counts as persisted. */
    DurabilityTracker(boolean isPersistent) {
        this.isPersistent = isPersistent;
    }

    /** Records a change; returns its number, from 1. */
    long recordChange() {
        return ++lastChange;
    }

    long lastChange() {
        return lastChange;
    }

    /** Records that all changes up to that number are persisted. */
    void onPersisted(long changeNumber) {
        lastPersisted = Math.max(lastPersisted, changeNumber);
    }

    boolean isPersisted(long changeNumber) {
        return !isPersistent || lastPersisted >= changeNumber;
    }
}
