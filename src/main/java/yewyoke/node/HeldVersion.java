package yewyoke.node;

import yewyoke.exchange.ServerList;

/** The version of the list that is held. Answers that cross never take it back. */
final class HeldVersion {
    private long version;

    HeldVersion(long version) {
        this.version = version;
    }

    long get() {
        return version;
    }

    /** Whether the list is news or what is held; if so its version is the one held from now on. */
    boolean take(ServerList list) {
        boolean current = list.version() >= version;
        version = Math.max(version, list.version());
        return current;
    }

    /** Versions of one discovery mean nothing to another. */
    void forget() {
        version = 0;
    }
}
