package loadbalancer.http1.control;

/**
 * Provides the status of a control server and receives the reports of other servers. Called on the
 * event loop.
 */
public interface StatusHandler {
    /** Returns the status of this control server. */
    ControlStatus status();

    /** Receives the report of another control server on its subscribers. */
    void report(ControlServerReport report);
}
