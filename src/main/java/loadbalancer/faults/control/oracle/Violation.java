package loadbalancer.faults.control.oracle;

/**
 * A promise that was broken.
 *
 * @param rule the promise
 * @param nanos virtual time
 * @param detail who and what, in one line
 */
public record Violation(Rule rule, long nanos, String detail) {
    /** What is promised. */
    public enum Rule {
        /** A revision in force never goes back within the life of a process. */
        REVISION_WENT_BACK,
        /** A revision is told to nobody before it is durable, and no other revision exists. */
        UNKNOWN_REVISION,
        /** What is in force is exactly what the accepted changes say. */
        WRONG_CONTENT,
        /** Only what is in force is acknowledged. */
        ACKNOWLEDGED_NOT_IN_FORCE,
        /** What was accepted is there after every restart of the writer. */
        ACCEPTED_CHANGE_LOST,
        /** A change that is valid is accepted, and one that isn't is refused. */
        WRONG_VERDICT,
        /** All are current in time after the last fault. */
        NOT_CURRENT_IN_TIME,
        /** Bytes a second are limited for each subscriber and in sum. */
        RATE_EXCEEDED,
        /**
         * No update leads to another digest than it names: the program never sends what is not
         * whole.
         */
        DIGEST_DIFFERS,
        /** The publisher's status agrees with what is in force. */
        WRONG_STATUS,
        /** No exception other than a planned crash leaves the program. */
        EXCEPTION
    }

    @Override
    public String toString() {
        return rule + " at " + nanos / 1_000_000 + " ms: " + detail;
    }
}
