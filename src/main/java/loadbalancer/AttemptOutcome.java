package loadbalancer;

/**
 * The outcome of an attempt. The constants are listed in the order of the codes of the simulator.
 */
public enum AttemptOutcome {
    /** A response was received. */
    SUCCESS(false),
    /** The endpoint responded with an error; the request may have been executed. */
    ERROR(false),
    /** The endpoint rejected the request without executing it. */
    REJECTED(true),
    /** No response arrived in time; the request may have been executed or may still be running. */
    TIMEOUT(false),
    /** No connection could be established. */
    CONNECT_FAILED(true),
    /** The connection was lost; the request may have been executed. */
    CONNECTION_RESET(false),
    /** The balancer cancelled the attempt; the request may have been executed. */
    CANCELLED(false),
    /** The attempt was never sent. */
    NOT_SENT(true);

    private final boolean isProofOfNoExecution;

    AttemptOutcome(boolean isProofOfNoExecution) {
        this.isProofOfNoExecution = isProofOfNoExecution;
    }

    /** Returns whether this outcome proves that the endpoint has not executed the request. */
    public boolean provesNoExecution() {
        return isProofOfNoExecution;
    }
}
