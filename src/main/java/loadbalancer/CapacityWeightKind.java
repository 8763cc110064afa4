package loadbalancer;

/** The meaning of the capacity weights in the endpoint list. */
public enum CapacityWeightKind {
    /** The weights have no meaning; all endpoints count as 1. */
    NONE,
    /** The registered size of the endpoint. */
    NOMINAL,
    /** An approximate size of the endpoint. */
    APPROXIMATE,
    /** The size of the endpoint divided by its load some time ago. */
    LIVE
}
