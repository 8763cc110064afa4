package loadbalancer.http1.downstream;

/**
 * When the phases of a stop begin, in milliseconds from now; times gone by count as now, and one
 * that lies behind a later phase's counts as that one's.
 *
 * @param acceptMs until when new clients are let in
 * @param keepMs until when connections are kept after an answer, and while nothing is asked on them
 * @param lastAnswerMs when all that is open gets its answer
 * @param closeMs when what is left is closed, whether or not its client has read all
 */
public record ShutdownTimes(long acceptMs, long keepMs, long lastAnswerMs, long closeMs) {
    /** The same, told so much later. */
    public ShutdownTimes after(long ms) {
        return new ShutdownTimes(acceptMs - ms, keepMs - ms, lastAnswerMs - ms, closeMs - ms);
    }
}
