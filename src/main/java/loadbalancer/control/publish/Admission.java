package loadbalancer.control.publish;

/** The answer to a request to subscribe. */
public sealed interface Admission {
    /**
     * Admitted: the publisher sends to the sink from now on.
     *
     * @param subscription to end it by
     */
    record Admitted(Subscription subscription) implements Admission {}

    /**
     * Not admitted now.
     *
     * @param reason one line
     * @param retryAfterMillis when to come back, jitter included
     */
    record Deferred(String reason, long retryAfterMillis) implements Admission {}
}
