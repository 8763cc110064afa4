package loadbalancer.control.subscribe;

import loadbalancer.control.model.Scope;

/**
 * Settings of a subscriber.
 *
 * @param name unique among all subscribers
 * @param zone of the subscriber; empty if unknown
 * @param scope the services that it wants
 * @param servers how many control machines there are
 * @param sliceResources resources that one slice of work processes at most
 * @param silenceMillis after which the connection to a silent server is closed
 * @param firstRetryMillis bound of the first delay before a retry; doubles with each retry
 * @param maxRetryMillis bound of all delays that no server has asked for
 */
public record SubscriberSettings(
        String name,
        String zone,
        Scope scope,
        int servers,
        int sliceResources,
        long silenceMillis,
        long firstRetryMillis,
        long maxRetryMillis) {
    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException for settings under which nothing could ever be received
     */
    public SubscriberSettings {
        if (name.isEmpty()
                || servers < 1
                || sliceResources < 1
                || silenceMillis < 1
                || firstRetryMillis < 1
                || maxRetryMillis < firstRetryMillis) {
            throw new IllegalArgumentException("a setting of the subscriber is out of range");
        }
    }
}
