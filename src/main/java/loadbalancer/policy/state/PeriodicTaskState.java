package loadbalancer.policy.state;

/** What the sweep keeps. */
public final class PeriodicTaskState {
    /** When to look next at what is held. */
    public long next;

    /** When to reweight, at the first look after it. */
    public long nextReweight;
}
