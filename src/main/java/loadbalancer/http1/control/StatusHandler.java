package loadbalancer.http1.control;

/** Answers status calls and takes the reports of other machines; called on the loop. */
public interface StatusHandler {
    /** The status of this machine. */
    ControlStatus status();

    /** Another machine reports the status of its subscribers. */
    void report(MachineReport report);
}
