package loadbalancer.faults;

/** A machine in the virtual network. */
final class Host {
    final String name;

    /** Cut off: nothing gets to it or away from it, and nobody is told. */
    boolean silent;

    /** Cut off in one direction: what it sends arrives nowhere. */
    boolean mute;

    /** Connections to it come up so many microseconds late. */
    long lateDial;

    Host(String name) {
        this.name = name;
    }

    @Override
    public String toString() {
        return name;
    }
}
