package loadbalancer.control.publish;

/** The publisher's decision on a request to subscribe. */
public sealed interface Admission {
    /**
     * The subscriber is admitted, and the publisher sends updates to its sink from now on.
     *
     * @param subscription the handle to end the subscription with
     */
    record Admitted(Subscription subscription) implements Admission {}

    /**
     * The subscriber is not admitted now and may retry later.
     *
     * @param reason the reason in one line
     * @param retryAfterMillis the delay before a retry, jitter included
     */
    record Deferred(String reason, long retryAfterMillis) implements Admission {}
}
