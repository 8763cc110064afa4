package loadbalancer;

/** What the capacity weights of the endpoint list mean. */
public enum CapacityWeightKind {
    /** Nothing: all are 1. */
    NONE,
    /** The registered size. */
    NOMINAL,
    /** An approximate size. */
    APPROXIMATE,
    /** The size divided by the load of some time ago. */
    LIVE
}
