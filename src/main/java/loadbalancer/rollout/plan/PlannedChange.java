package loadbalancer.rollout.plan;

/**
 * The change that a plan makes.
 *
 * @param name name, not path, of the folder or file within the operators' folder for its kind
 * @param digest SHA-256 computed by {@link Digests}, 64 lower-case hexadecimal digits
 */
public record PlannedChange(Kind kind, String name, String digest) {
    /** The kind of a change. */
    public enum Kind {
        /** Replaces the program by another folder. */
        PROGRAM,
        /** Replaces only the operator's file. */
        OPERATOR_FILE
    }
}
