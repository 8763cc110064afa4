package loadbalancer;

/** How an attempt ended. The order of the constants is that of the codes of the simulator. */
public enum AttemptOutcome {
    /** A response was received. */
    SUCCESS(false),
    /** The endpoint responded with an error; the request may have been executed. */
    ERROR(false),
    /** The endpoint rejected the request without executing it. */
    REJECTED(true),
    /** No response in time; the request may have been executed, or still be. */
    TIMEOUT(false),
    /** No connection could be established. */
    CONNECT_FAILED(true),
    /** The connection was lost; the request may have been executed. */
    CONNECTION_RESET(false),
    /** Cancelled by the balancer; the request may have been executed. */
    CANCELLED(false),
    /** The attempt was never sent. */
    NOT_SENT(true);

    private final boolean isProofOfNoExecution;

    AttemptOutcome(boolean isProofOfNoExecution) {
        this.isProofOfNoExecution = isProofOfNoExecution;
    }

    /** Whether this outcome proves that the endpoint has not executed the request. */
    public boolean isProofOfNoExecution() {
        return isProofOfNoExecution;
    }
}
