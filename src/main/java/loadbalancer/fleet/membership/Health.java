package loadbalancer.fleet.membership;

/** What is held of a member. At one incarnation a later one of these wins over an earlier one. */
public enum Health {
    /** It answers. */
    ALIVE,
    /** It did not answer; it may say that it lives, under a higher incarnation. */
    SUSPECT,
    /** It did not, for as long as suspicion lasts. */
    DEAD,
    /** It said that it leaves. */
    LEFT
}
