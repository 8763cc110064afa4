package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReport;
import loadbalancer.RequestDescriptor;

/** A balancer that breaks one rule on purpose, so that the checker can be seen to notice. */
final class Rogue implements LoadBalancer {
    /** What it does wrong. */
    enum Crime {
        SILENCE,
        REPEATS,
        DRAINED,
        PUSHES_COLD,
        AFTER_END
    }

    private final LoadBalancerActions out;
    private final Crime crime;
    private final List<String> servers = new ArrayList<>();
    private int turn;

    Rogue(LoadBalancerActions out, Crime crime) {
        this.out = out;
        this.crime = crime;
    }

    @Override
    public void updateEndpoints(
            long now, EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        for (EndpointDescriptor e : entries) {
            if (!servers.contains(e.id())) {
                servers.add(e.id());
            }
            if (e.state() != EndpointState.READY && crime != Crime.DRAINED) {
                servers.remove(e.id());
            }
        }
    }

    private void send(String request) {
        if (servers.isEmpty()) {
            out.reject(request, 0);
        } else {
            out.sendAttempt(request, servers.get(turn++ % servers.size()), 0);
        }
    }

    @Override
    public void requestReceived(long now, RequestDescriptor request) {
        if (crime != Crime.SILENCE || turn++ % 5 > 0) {
            send(request.id());
        }
    }

    @Override
    public void attemptEnded(long now, AttemptResult end) {
        if (end.isRequestConcluded()) {
            if (crime == Crime.AFTER_END && end.attemptIndex() == 0) {
                send(end.requestId());
            }
            return;
        }
        if (crime == Crime.REPEATS && end.outcome() == AttemptOutcome.ERROR) {
            out.scheduleTimer(end.requestId(), 1_300_000);
        } else {
            out.fail(end.requestId());
        }
    }

    @Override
    public void timerExpired(long now, String token) {
        send(token);
    }

    @Override
    public void start(long now) {}

    @Override
    public void updateSettings(long now, LoadBalancerSettings next) {}

    @Override
    public void setMaxPendingRequests(int most) {}

    @Override
    public void requestHeadReceived(long now, RequestDescriptor request) {}

    @Override
    public void requestBodyReceived(long now, String request) {}

    @Override
    public void responseStarted(long now, String request, int attempt) {}

    @Override
    public void clientDisconnected(long now, String request) {}

    @Override
    public void probeCompleted(
            long now, String upstream, AttemptOutcome outcome, LoadReport load) {}

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {}

    @Override
    public int unavailableEndpointCount(long now) {
        return 0;
    }
}
