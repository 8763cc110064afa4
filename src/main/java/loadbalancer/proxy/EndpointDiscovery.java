package loadbalancer.proxy;

/** Follows the endpoint list; updates go to {@link RequestDispatcher#updateEndpoints}. */
public interface EndpointDiscovery {
    /** Watches for changes, anew if it does so already, or stops watching. */
    void watch(boolean isWatching);

    /** Fetches the complete list once. */
    void fetch();
}
