package loadbalancer.capacity;

import loadbalancer.LoadBalancerActions;

/** Actions that do nothing, for hosts of modules that do with a few of them. */
interface IdleActions extends LoadBalancerActions {
    @Override
    default void sendAttempt(String request, String upstream, long timeout) {}

    @Override
    default void reject(String request, long retryAfter) {}

    @Override
    default void fail(String request) {}

    @Override
    default void cancelAttempt(String request, int attempt) {}

    @Override
    default void probeEndpoint(String upstream) {}

    @Override
    default void closeIdleConnections(String upstream) {}

    @Override
    default void watchEndpointList(boolean on) {}

    @Override
    default void fetchEndpointList() {}

    @Override
    default void sendToPeer(int peer, byte[] body) {}

    @Override
    default void log(String text) {}
}
