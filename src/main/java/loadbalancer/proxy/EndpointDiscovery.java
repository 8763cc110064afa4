package loadbalancer.proxy;

/** Reads the endpoint list and delivers updates to {@link RequestDispatcher#updateEndpoints}. */
public interface EndpointDiscovery {
    /** Starts watching for changes, restarting a watch that is open, or stops watching. */
    void watch(boolean isWatching);

    /** Fetches the complete list once. */
    void fetch();
}
