package loadbalancer.capacity;

import loadbalancer.LoadBalancerActions;

/** Actions that do nothing by default. */
interface IdleActions extends LoadBalancerActions {
    @Override
    default void sendAttempt(String requestId, String endpointId, long timeoutMicros) {}

    @Override
    default void reject(String requestId, long retryAfterMicros) {}

    @Override
    default void fail(String requestId) {}

    @Override
    default void cancelAttempt(String requestId, int attemptIndex) {}

    @Override
    default void probeEndpoint(String endpointId) {}

    @Override
    default void closeIdleConnections(String endpointId) {}

    @Override
    default void watchEndpointList(boolean isWatching) {}

    @Override
    default void fetchEndpointList() {}

    @Override
    default void sendToPeer(int peerIndex, byte[] message) {}

    @Override
    default void log(String message) {}
}
