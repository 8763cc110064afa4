package loadbalancer.node;

import loadbalancer.proxy.EndpointListUpdate;

/** The version of the list that is held. Answers that cross never take it back. */
final class CurrentListVersion {
    private long version;

    CurrentListVersion(long version) {
        this.version = version;
    }

    long get() {
        return version;
    }

    /** Whether the list is not older than the current one; if so its version becomes current. */
    boolean take(EndpointListUpdate list) {
        boolean current = list.version() >= version;
        version = Math.max(version, list.version());
        return current;
    }

    /** Versions of one discovery mean nothing to another. */
    void forget() {
        version = 0;
    }
}
