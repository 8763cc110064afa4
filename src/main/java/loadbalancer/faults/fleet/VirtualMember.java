package loadbalancer.faults.fleet;

/**
 * What a process of the fleet holds: logic that is told of time and packets and sends through its
 * {@link VirtualProcess}. Times are microseconds of the process's own clock, which only advances.
 *
 * @param <P> what a datagram holds
 */
public interface VirtualMember<P> {
    /** The process has started. */
    void start(long now);

    /** A datagram of another process has come. */
    void received(long now, P packet, Origin from);

    /** Does what is due. */
    void wake(long now);

    /** When {@link #wake} is wanted; {@link Long#MAX_VALUE} for never. */
    long nextWake();

    /** The incarnation that a state folder would keep, for a later process of the name. */
    default long incarnation() {
        return 0;
    }

    /** The process is about to end in order. */
    default void leave(long now) {}

    /** Who sent a datagram. */
    record Origin(String name, String address, long bootId) {}
}
