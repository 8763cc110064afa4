package loadbalancer.control.publish;

/** The result of a request to subscribe. */
public sealed interface Admission {
    /**
     * Admitted: the publisher sends to the sink from now on.
     *
     * @param subscription to end it by
     */
    record Admitted(Subscription subscription) implements Admission {}

    /**
     * Not admitted now; the subscriber may retry later.
     *
     * @param reason one line
     * @param retryAfterMillis after which it may retry, jitter included
     */
    record Deferred(String reason, long retryAfterMillis) implements Admission {}
}
