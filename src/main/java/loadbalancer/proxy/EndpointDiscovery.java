package loadbalancer.proxy;

/**
 * Where the list of upstreams is followed; what it tells goes to {@link
 * RequestDispatcher#updateEndpoints}.
 */
public interface EndpointDiscovery {
    /** Begins to follow changes, anew if it does so already, or ends that. */
    void watch(boolean on);

    /** Gets the whole list once. */
    void fetch();
}
