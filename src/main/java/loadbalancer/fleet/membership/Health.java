package loadbalancer.fleet.membership;

/** A member's state. Within one incarnation a constant takes precedence over those before it. */
public enum Health {
    /** The member acknowledges probes. */
    ALIVE,
    /** The member failed a probe; it may refute the suspicion with a higher incarnation. */
    SUSPECT,
    /** The member did not refute a suspicion in time. */
    DEAD,
    /** The member announced that it leaves the fleet. */
    LEFT
}
