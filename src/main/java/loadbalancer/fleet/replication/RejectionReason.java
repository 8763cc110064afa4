package loadbalancer.fleet.replication;

/** Reason why an item was rejected. */
public enum RejectionReason {
    /** The member already has the maximum number of topics. */
    TOPICS("topics"),
    /** The member has used up its budget of bytes, or the item itself is too long. */
    BYTES("bytes"),
    /** There are too many members that are not on the roster. */
    UNKNOWN_MEMBERS("strangers"),
    /** The item's fragments do not form a valid document. */
    FRAGMENTS("fragments");

    private final String label;

    RejectionReason(String label) {
        this.label = label;
    }

    /** Returns the name of this reason in metrics and log lines. */
    public String label() {
        return label;
    }
}
