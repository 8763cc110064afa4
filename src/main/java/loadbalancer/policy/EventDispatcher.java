package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.LoadBalancer;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/** Takes each event to the modules that it is for. */
public abstract class EventDispatcher implements LoadBalancer {
    private final PolicyState b;

    /** Creates an instance; bad settings are refused with the field's name. */
    protected EventDispatcher(Settings settings, long seed, Actions out) {
        b = new PolicyState(new SplittableRandom(seed), out);
        DerivedSettings.take(b, settings);
        b.times.guess(EndpointPicker.firstPace(DerivedSettings.tightest(settings)));
    }

    // @formatter:off - a table: one event to a line where one call answers it
    @Override
    public void start(long now) {
        PeriodicTasks.start(b, now);
        EndpointListUpdates.subscribe(b);
    }

    @Override
    public void settings(long now, Settings next) {
        DerivedSettings.take(b, next);
        b.ups.settle(); // who else uses an upstream follows from the group
        PendingRequests.pump(b, now);
    }

    @Override
    public void mayHold(int most) {
        b.held.most(most);
    }

    @Override
    public void upstreams(long now, ListKind kind, List<Upstream> entries) {
        if (EndpointListUpdates.take(b, now, kind, entries)) {
            PendingRequests.pump(b, now);
        }
    }

    @Override
    public void request(long now, Request request) {
        AdmissionControl.take(b, now, request, false);
    }

    @Override
    public void arriving(long now, Request request) {
        AdmissionControl.take(b, now, request, true);
    }

    @Override
    public void received(long now, String request) {
        AdmissionControl.received(b, now, request);
    }

    @Override
    public void outcome(long now, AttemptEnd end) {
        UtilizationWeights.learn(b.ups.get(end.upstream()), end.load(), now);
        AttemptLifecycle.ended(b, now, end);
    }

    @Override
    public void opened(long now, String request, int attempt) {
        AttemptLifecycle.opened(b, now, request, attempt);
    }

    @Override
    public void clientGone(long now, String request) {
        OpenRequest r = b.open.get(request);
        if (r != null && !r.ended) {
            FinalResponses.conclude(b, r);
        }
    }

    @Override
    public void probed(long now, String upstream, Outcome outcome, LoadReport load) {
        Endpoint up = b.ups.get(upstream);
        if (up != null && outcome == Outcome.OK) {
            UtilizationWeights.learn(up, load, now);
            LoadProbing.heard(b, up, load, now);
        }
        if (up != null && outcome == Outcome.CONNECT_FAILED) {
            OutlierDetection.eject(up, now);
        }
        if (LoadProbing.allHeard(b, now)) {
            PendingRequests.pump(b, now);
        }
    }

    @Override
    public void timer(long now, String token) {
        if (token.equals("due")) {
            FinalResponses.timer(b, now);
        } else if (token.equals("ask")) {
            PendingRequests.pump(b, now);
        } else if (token.equals("sweep")) {
            PeriodicTasks.timer(b, now);
        }
    }

    @Override
    public void peerMessage(long now, int from, byte[] body) {
        InFlightExchange.heard(b, now, from, body);
    }

    @Override
    public int skipped(long now) {
        return b.ups.draining() + OutlierDetection.shutOut(b.ups.all(), now);
    }

    @Override
    public void beside(long now, boolean another) {
        b.beside = another;
    }

    @Override
    public Memory memory(long now, int from, int most) {
        return b.memory(now, from, most);
    }

    @Override
    public void recall(long now, long age, long listAge, Memory memory) {
        StateExport.recall(b, now, age, listAge, memory);
        PendingRequests.pump(b, now);
    }
}
