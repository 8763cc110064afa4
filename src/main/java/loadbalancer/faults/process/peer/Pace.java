package loadbalancer.faults.process.peer;

/**
 * How fast an upstream is.
 *
 * @param workMs for a request with an unknown key, warm
 * @param knownShare of that for a key that it has seen among the last {@code memory} ones
 * @param coldFactor times that while it is cold, {@code coldMs} from its start
 * @param workers requests at a time; {@code queue} more may wait, others are turned away
 */
public record Pace(
        long workMs,
        double knownShare,
        int memory,
        double coldFactor,
        long coldMs,
        int workers,
        int queue) {
    /** One that is warm from the start. */
    public static Pace warm(long workMs) {
        return new Pace(workMs, 0.5, 64, 1, 0, 8, 64);
    }

    /** The same, but cold after each start. */
    public Pace coldFor(double factor, long ms) {
        return new Pace(workMs, knownShare, memory, factor, ms, workers, queue);
    }
}
