package loadbalancer.faults.process.relay;

/**
 * How one direction between two addresses is. Chances are between 0 and 1 and each datagram's own;
 * streams of bytes know delays and the hold only, as TCP does.
 *
 * @param delayMs that everything takes
 * @param jitterMs at most so much more, drawn evenly
 * @param loss chance to be lost
 * @param twice chance to come twice
 * @param late chance to be overtaken: so many times the delay and jitter, and 20 ms, are added
 * @param spoilt chance that one byte is changed
 * @param held nothing passes: datagrams are lost, bytes wait
 */
public record LinkConditions(
        long delayMs,
        long jitterMs,
        double loss,
        double twice,
        double late,
        double spoilt,
        boolean held) {
    /** As if nothing were in between. */
    public static final LinkConditions CLEAR = new LinkConditions(0, 0, 0, 0, 0, 0, false);

    /** Nothing gets through. */
    public static final LinkConditions CUT = new LinkConditions(0, 0, 1, 0, 0, 0, true);

    /** Slow and no worse. */
    public static LinkConditions slow(long delayMs, long jitterMs) {
        return new LinkConditions(delayMs, jitterMs, 0, 0, 0, 0, false);
    }

    /** All that may happen to datagrams, each with that chance, beside a delay. */
    public static LinkConditions storm(double chance, long delayMs, long jitterMs) {
        return new LinkConditions(delayMs, jitterMs, chance, chance, chance, chance, false);
    }
}
