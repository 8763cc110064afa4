package loadbalancer.control.subscribe;

import loadbalancer.control.model.Scope;

/**
 * How a subscriber behaves.
 *
 * @param name unique among all subscribers
 * @param zone where it stands; empty if unknown
 * @param scope the services that it wants
 * @param servers how many control machines there are
 * @param sliceResources resources that one slice of work touches at most
 * @param silenceMillis a server that is silent for longer is left for the next
 * @param firstRetryMillis bound of the first delay before a retry; doubles with each retry
 * @param longestRetryMillis bound of all delays that no server has asked for
 */
public record SubscriberSettings(
        String name,
        String zone,
        Scope scope,
        int servers,
        int sliceResources,
        long silenceMillis,
        long firstRetryMillis,
        long longestRetryMillis) {
    /** Rejects settings under which nothing could ever be received. */
    public SubscriberSettings {
        if (name.isEmpty()
                || servers < 1
                || sliceResources < 1
                || silenceMillis < 1
                || firstRetryMillis < 1
                || longestRetryMillis < firstRetryMillis) {
            throw new IllegalArgumentException("a setting of the subscriber is out of range");
        }
    }
}
