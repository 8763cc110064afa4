package loadbalancer.control.model;

/**
 * The JSON names of the fields of an {@link UpdatePart}, and those of an {@link Acknowledgement}
 * that differ from the names in the code. They are part of the protocol.
 */
public final class UpdateFieldNames {
    /** The revision that the update builds on. */
    public static final String FROM = "from";

    /** The number of the part in its update. */
    public static final String PART = "part";

    /** Resources added or replaced. */
    public static final String PUT = "put";

    /** Identifiers of deleted resources. */
    public static final String DELETE = "delete";

    /** The target revision and digest, present in the last part only. */
    public static final String COMPLETION = "completion";

    /** The target revision of the update. */
    public static final String TO = "to";

    /** The digest at the target revision. */
    public static final String DIGEST = "digest";

    /** The revision that a subscriber rejected. */
    public static final String REJECTED = "refused";

    private UpdateFieldNames() {}
}
