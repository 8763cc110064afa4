package loadbalancer.control.model;

/**
 * The JSON names of the fields of an {@link UpdatePart}, and of an {@link Acknowledgement} where
 * they differ from the names in the code; part of the protocol.
 */
public final class UpdateFieldNames {
    /** The revision that the update builds on. */
    public static final String FROM = "from";

    /** The number of the part. */
    public static final String PART = "part";

    /** Resources added or replaced. */
    public static final String PUT = "put";

    /** Identifiers of deleted resources. */
    public static final String DELETE = "delete";

    /** Where the update leads. */
    public static final String COMPLETION = "completion";

    /** The revision that the update leads to. */
    public static final String TO = "to";

    /** The digest at that revision. */
    public static final String DIGEST = "digest";

    /** The revision that a subscriber rejected. */
    public static final String REJECTED = "refused";

    private UpdateFieldNames() {}
}
