package loadbalancer.http1.downstream;

/**
 * The times at which the phases of a graceful shutdown begin, in milliseconds from now. A time in
 * the past counts as now. A phase whose time is after that of a later phase begins together with
 * that later phase.
 *
 * @param acceptMillis the end of accepting new connections
 * @param keepMillis the end of keeping connections alive after a response and while they are idle
 * @param lastResponseMillis the latest time of the final response to each request in flight
 * @param closeMillis the time at which all remaining connections are closed, even if their clients
 *     have not read everything
 */
public record ShutdownTimes(
        long acceptMillis, long keepMillis, long lastResponseMillis, long closeMillis) {
    /** Returns these times relative to a moment that is the given number of milliseconds later. */
    public ShutdownTimes after(long millis) {
        return new ShutdownTimes(
                acceptMillis - millis,
                keepMillis - millis,
                lastResponseMillis - millis,
                closeMillis - millis);
    }
}
