package loadbalancer.rollout.plan;

/**
 * What a plan puts in place of what runs.
 *
 * @param name of the folder or file, below the operators' folder for such; it is no path
 * @param digest SHA-256 in 64 lower-case hexadecimal digits, as {@link Digests} computes it
 */
public record PlannedChange(Kind kind, String name, String digest) {
    /** What can change. */
    public enum Kind {
        /** The folder of a program. */
        PROGRAM,
        /** The operator's file alone. */
        OPERATOR_FILE
    }
}
