package loadbalancer.http1.downstream;

/**
 * When the phases of a graceful shutdown begin, in milliseconds from now. A time that has passed
 * counts as now, and one behind that of a later phase counts as that one's.
 *
 * @param acceptMillis until when new connections are accepted
 * @param keepMillis until when connections are kept after a response, and while they are idle
 * @param lastResponseMillis when every request in flight gets its final response
 * @param closeMillis when what is left is closed, whether or not its client has read all
 */
public record ShutdownTimes(
        long acceptMillis, long keepMillis, long lastResponseMillis, long closeMillis) {
    /** The same times as seen so much later. */
    public ShutdownTimes after(long millis) {
        return new ShutdownTimes(
                acceptMillis - millis,
                keepMillis - millis,
                lastResponseMillis - millis,
                closeMillis - millis);
    }
}
