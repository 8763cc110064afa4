package loadbalancer.faults.process.check;

/**
 * One attempt that reached an upstream whole.
 *
 * @param unseen whether the upstream turned it away without running it
 * @param toldMs the time that it was told to be waited for, {@link #UNTOLD} if none
 */
public record Ran(String id, String upstream, String key, long at, boolean unseen, long toldMs) {
    /** Nothing was told. */
    public static final long UNTOLD = -1;

    /** One that was told nothing. */
    public Ran(String id, String upstream, String key, long at, boolean unseen) {
        this(id, upstream, key, at, unseen, UNTOLD);
    }
}
