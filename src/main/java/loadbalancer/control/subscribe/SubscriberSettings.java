package loadbalancer.control.subscribe;

import loadbalancer.control.model.Scope;

/**
 * The settings of a subscriber.
 *
 * @param name the name, unique among all subscribers
 * @param zone the zone of the subscriber; empty if unknown
 * @param scope the services to subscribe to
 * @param servers the number of control servers
 * @param sliceResources the maximum number of resources that one slice of work processes
 * @param silenceMillis the time after which a connection on which nothing is received is closed
 * @param firstRetryMillis the upper bound of the first retry delay; it doubles with each retry
 * @param maxRetryMillis the maximum of that bound; a server may request longer delays
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
     * Checks the ranges of the settings.
     *
     * @throws IllegalArgumentException if the name is empty, a number is below 1, or {@code
     *     maxRetryMillis} is below {@code firstRetryMillis}
     */
    public SubscriberSettings {
        if (name.isEmpty()
                || servers < 1
                || sliceResources < 1
                || silenceMillis < 1
                || firstRetryMillis < 1
                || maxRetryMillis < firstRetryMillis) {
            throw new IllegalArgumentException(
                    "expected a name, numbers of 1 or more, and maxRetryMillis >="
                            + " firstRetryMillis");
        }
    }
}
