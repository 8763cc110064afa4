package loadbalancer.node;

import loadbalancer.proxy.EndpointListUpdate;

/**
 * Holds the version of the endpoint list in use. It does not decrease with lists from discovery:
 * responses to concurrent calls may arrive out of order.
 */
final class CurrentListVersion {
    private long version;

    CurrentListVersion(long version) {
        this.version = version;
    }

    long get() {
        return version;
    }

    /**
     * Returns whether a list is not older than the current one, and if so makes its version the
     * current one.
     */
    boolean advanceTo(EndpointListUpdate list) {
        boolean isCurrent = list.version() >= version;
        version = Math.max(version, list.version());
        return isCurrent;
    }

    /**
     * Returns whether the list of a sibling process is newer than the current one: it has a higher
     * version, or none. It has none if discovery has moved, and then it is newer than a list that
     * this process was started with.
     *
     * @param hasLearntSinceStart whether the current list is another one than at the start
     */
    boolean isBefore(EndpointListUpdate shared, boolean hasLearntSinceStart) {
        return shared.version() > version || shared.version() == 0 && !hasLearntSinceStart;
    }

    /** Makes the version of a list the current one, also if it is none. */
    void set(EndpointListUpdate list) {
        version = list.version();
    }

    /** Resets the version, as versions of one discovery service do not apply to another. */
    void reset() {
        version = 0;
    }
}
