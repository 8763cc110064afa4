package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.LoadReport;
import loadbalancer.RequestDescriptor;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/** Takes each event to the modules that it is for. */
public abstract class EventDispatcher implements LoadBalancer {
    private final PolicyState b;

    /** Creates an instance; bad settings are refused with the field's name. */
    protected EventDispatcher(LoadBalancerSettings settings, long seed, LoadBalancerActions out) {
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
    public void updateSettings(long now, LoadBalancerSettings next) {
        DerivedSettings.take(b, next);
        b.ups.settle(); // who else uses an upstream follows from the group
        PendingRequests.pump(b, now);
    }

    @Override
    public void setMaxPendingRequests(int most) {
        b.held.most(most);
    }

    @Override
    public void updateEndpoints(
            long now, EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        if (EndpointListUpdates.take(b, now, kind, entries)) {
            PendingRequests.pump(b, now);
        }
    }

    @Override
    public void requestReceived(long now, RequestDescriptor request) {
        AdmissionControl.take(b, now, request, false);
    }

    @Override
    public void requestHeadReceived(long now, RequestDescriptor request) {
        AdmissionControl.take(b, now, request, true);
    }

    @Override
    public void requestBodyReceived(long now, String request) {
        AdmissionControl.received(b, now, request);
    }

    @Override
    public void attemptEnded(long now, AttemptResult end) {
        UtilizationWeights.learn(b.ups.get(end.endpointId()), end.loadReport(), now);
        AttemptLifecycle.ended(b, now, end);
    }

    @Override
    public void responseStarted(long now, String request, int attempt) {
        AttemptLifecycle.opened(b, now, request, attempt);
    }

    @Override
    public void clientDisconnected(long now, String request) {
        OpenRequest r = b.open.get(request);
        if (r != null && !r.ended) {
            FinalResponses.conclude(b, r);
        }
    }

    @Override
    public void probeCompleted(long now, String upstream, AttemptOutcome outcome, LoadReport load) {
        Endpoint up = b.ups.get(upstream);
        if (up != null && outcome == AttemptOutcome.SUCCESS) {
            UtilizationWeights.learn(up, load, now);
            LoadProbing.heard(b, up, load, now);
        }
        if (up != null && outcome == AttemptOutcome.CONNECT_FAILED) {
            OutlierDetection.eject(up, now);
        }
        if (LoadProbing.allHeard(b, now)) {
            PendingRequests.pump(b, now);
        }
    }

    @Override
    public void timerExpired(long now, String token) {
        if (token.equals("due")) {
            FinalResponses.timer(b, now);
        } else if (token.equals("ask")) {
            PendingRequests.pump(b, now);
        } else if (token.equals("sweep")) {
            PeriodicTasks.timer(b, now);
        }
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {
        InFlightExchange.heard(b, now, from, body);
    }

    @Override
    public int unavailableEndpointCount(long now) {
        return b.ups.draining() + OutlierDetection.shutOut(b.ups.all(), now);
    }

    @Override
    public void siblingProcessChanged(long now, boolean another) {
        b.beside = another;
    }

    @Override
    public LoadBalancerSnapshot exportState(long now, int from, int most) {
        return b.memory(now, from, most);
    }

    @Override
    public void restoreState(long now, long age, long listAge, LoadBalancerSnapshot memory) {
        StateExport.recall(b, now, age, listAge, memory);
        PendingRequests.pump(b, now);
    }
}
