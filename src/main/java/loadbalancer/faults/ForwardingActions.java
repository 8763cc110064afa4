package loadbalancer.faults;

import loadbalancer.LoadBalancerActions;

/** Passes on what a module decides; heirs listen in, or keep things to themselves. */
class ForwardingActions implements LoadBalancerActions {
    private final LoadBalancerActions out;

    ForwardingActions(LoadBalancerActions out) {
        this.out = out;
    }

    @Override
    public void sendAttempt(String request, String upstream, long timeout) {
        out.sendAttempt(request, upstream, timeout);
    }

    @Override
    public void reject(String request, long retryAfter) {
        out.reject(request, retryAfter);
    }

    @Override
    public void fail(String request) {
        out.fail(request);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        out.cancelAttempt(request, attempt);
    }

    @Override
    public void scheduleTimer(String token, long delay) {
        out.scheduleTimer(token, delay);
    }

    @Override
    public void probeEndpoint(String upstream) {
        out.probeEndpoint(upstream);
    }

    @Override
    public void closeIdleConnections(String upstream) {
        out.closeIdleConnections(upstream);
    }

    @Override
    public void watchEndpointList(boolean on) {
        out.watchEndpointList(on);
    }

    @Override
    public void fetchEndpointList() {
        out.fetchEndpointList();
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        out.sendToPeer(peer, body);
    }

    @Override
    public void log(String text) {
        out.log(text);
    }
}
