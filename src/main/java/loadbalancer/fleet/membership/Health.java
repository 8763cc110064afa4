package loadbalancer.fleet.membership;

/** A member's state. At one incarnation a later one of these wins over an earlier one. */
public enum Health {
    /** It answers probes. */
    ALIVE,
    /** It did not answer a probe; it may refute that under a higher incarnation. */
    SUSPECT,
    /** It did not refute the suspicion in time. */
    DEAD,
    /** It announced that it leaves. */
    LEFT
}
