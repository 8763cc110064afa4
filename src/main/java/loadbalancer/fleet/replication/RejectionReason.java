package loadbalancer.fleet.replication;

/** Why an item was rejected. */
public enum RejectionReason {
    /** Its member has the maximum number of topics. */
    TOPICS("topics"),
    /** Its member has used up its budget of bytes, or the item itself is too long. */
    BYTES("bytes"),
    /** There are too many members that are not on the roster. */
    UNKNOWN_MEMBERS("strangers"),
    /** Its fragments make no document. */
    FRAGMENTS("fragments");

    private final String label;

    RejectionReason(String label) {
        this.label = label;
    }

    /** The name of this reason in metrics and log lines. */
    public String label() {
        return label;
    }
}
