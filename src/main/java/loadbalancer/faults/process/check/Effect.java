package loadbalancer.faults.process.check;

/** Whether a request may run more than once. */
public enum Effect {
    /** As often as one likes. */
    SAFE,
    /** Again within a time from its first attempt, which upstreams remember. */
    KEYED,
    /** Never. */
    UNSAFE
}
