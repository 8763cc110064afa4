package loadbalancer.http1.control;

/** Whoever knows what is in force where; called on the loop. */
public interface StatusHandler {
    /** The status of this machine. */
    ControlStatus status();

    /** Another machine reports on its subscribers. */
    void report(MachineReport report);
}
