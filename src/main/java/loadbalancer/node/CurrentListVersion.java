package loadbalancer.node;

import loadbalancer.proxy.EndpointListUpdate;

/**
 * Holds the version of the endpoint list in use. It never decreases: responses to concurrent calls
 * may arrive out of order.
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

    /** Resets the version, as versions of one discovery service do not apply to another. */
    void reset() {
        version = 0;
    }
}
