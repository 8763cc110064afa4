package loadbalancer.faults.fleet;

/**
 * The logic that runs in a {@link VirtualProcess} and sends datagrams through it. Times are
 * microseconds of the process's own monotonic clock; all calls come from the simulation's thread.
 *
 * @param <P> type of a datagram's content
 */
public interface VirtualMember<P> {
    /** Called once when the process has started. */
    void start(long nowMicros);

    /** Handles a datagram of another process. */
    void received(long nowMicros, P packet, Origin from);

    /** Runs the timers that are due. */
    void wake(long nowMicros);

    /** Returns when to call {@link #wake} next; {@link Long#MAX_VALUE} for never. */
    long nextWakeMicros();

    /** Returns the incarnation to store for a later process with the same name. */
    default long incarnation() {
        return 0;
    }

    /** Called before the process shuts down in an orderly way. */
    default void leave(long nowMicros) {}

    /** Identifies the process that sent a datagram. */
    record Origin(String name, String address, long bootId) {}
}
