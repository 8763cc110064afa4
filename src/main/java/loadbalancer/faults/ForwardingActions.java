package loadbalancer.faults;

import loadbalancer.LoadBalancerActions;

/** Forwards the actions of a load balancer; subclasses observe or withhold some. */
class ForwardingActions implements LoadBalancerActions {
    private final LoadBalancerActions out;

    ForwardingActions(LoadBalancerActions out) {
        this.out = out;
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long timeoutMicros) {
        out.sendAttempt(requestId, endpointId, timeoutMicros);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        out.reject(requestId, retryAfterMicros);
    }

    @Override
    public void fail(String requestId) {
        out.fail(requestId);
    }

    @Override
    public void cancelAttempt(String requestId, int attemptIndex) {
        out.cancelAttempt(requestId, attemptIndex);
    }

    @Override
    public void scheduleTimer(String token, long delayMicros) {
        out.scheduleTimer(token, delayMicros);
    }

    @Override
    public void probeEndpoint(String endpointId) {
        out.probeEndpoint(endpointId);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        out.closeIdleConnections(endpointId);
    }

    @Override
    public void watchEndpointList(boolean isWatching) {
        out.watchEndpointList(isWatching);
    }

    @Override
    public void fetchEndpointList() {
        out.fetchEndpointList();
    }

    @Override
    public void sendToPeer(int peerIndex, byte[] message) {
        out.sendToPeer(peerIndex, message);
    }

    @Override
    public void log(String message) {
        out.log(message);
    }
}
