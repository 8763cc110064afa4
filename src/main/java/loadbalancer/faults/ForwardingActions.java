package loadbalancer.faults;

import loadbalancer.LoadBalancer;

/** Passes on what a module decides; heirs listen in, or keep things to themselves. */
class ForwardingActions implements LoadBalancer.Actions {
    private final LoadBalancer.Actions out;

    ForwardingActions(LoadBalancer.Actions out) {
        this.out = out;
    }

    @Override
    public void send(String request, String upstream, long timeout) {
        out.send(request, upstream, timeout);
    }

    @Override
    public void refuse(String request, long retryAfter) {
        out.refuse(request, retryAfter);
    }

    @Override
    public void fail(String request) {
        out.fail(request);
    }

    @Override
    public void cancel(String request, int attempt) {
        out.cancel(request, attempt);
    }

    @Override
    public void timer(String token, long delay) {
        out.timer(token, delay);
    }

    @Override
    public void probe(String upstream) {
        out.probe(upstream);
    }

    @Override
    public void closeIdle(String upstream) {
        out.closeIdle(upstream);
    }

    @Override
    public void watch(boolean on) {
        out.watch(on);
    }

    @Override
    public void fetch() {
        out.fetch();
    }

    @Override
    public void tell(int peer, byte[] body) {
        out.tell(peer, body);
    }

    @Override
    public void log(String text) {
        out.log(text);
    }
}
