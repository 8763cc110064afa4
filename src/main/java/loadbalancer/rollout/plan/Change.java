package loadbalancer.rollout.plan;

/**
 * What a plan puts in place of what runs.
 *
 * @param kind a whole program, or the operator's file alone
 * @param name of the folder or file, below where the operators keep such; no path leads out of
 *     there
 * @param digest SHA-256 in 64 small hex digits, as {@link Digests} counts it
 */
public record Change(Kind kind, String name, String digest) {
    /** What can change. */
    public enum Kind {
        PROGRAM,
        OPERATOR
    }
}
