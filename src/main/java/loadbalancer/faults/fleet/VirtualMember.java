package loadbalancer.faults.fleet;

/**
 * The logic in a {@link VirtualProcess}, through which it sends. Times are microseconds of the
 * process's own monotonic clock; all calls come from the simulation's thread.
 *
 * @param <P> content of a datagram
 */
public interface VirtualMember<P> {
    /** The process has started. */
    void start(long nowMicros);

    /** A datagram of another process was received. */
    void received(long nowMicros, P packet, Origin from);

    /** Does what is due. */
    void wake(long nowMicros);

    /** When {@link #wake} is wanted; {@link Long#MAX_VALUE} for never. */
    long nextWakeMicros();

    /** The incarnation to store for a later process of that name. */
    default long incarnation() {
        return 0;
    }

    /** The process is about to shut down. */
    default void leave(long nowMicros) {}

    /** The process that sent a datagram. */
    record Origin(String name, String address, long bootId) {}
}
