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

/**
 * Passes each event to the rules that handle it. The order of the calls in a method is the order in
 * which the rules see the event.
 *
 * <p>Must be called from one thread; times are in microseconds of the clock that is passed in with
 * the events.
 */
public abstract class EventDispatcher implements LoadBalancer {
    private final EndpointComponents endpointRules;
    private final RequestComponents requestRules;

    /**
     * Creates an instance that is not started yet.
     *
     * @throws IllegalArgumentException with the name of the field if a setting is invalid
     */
    protected EventDispatcher(
            LoadBalancerSettings settings, long seed, LoadBalancerActions actions) {
        SplittableRandom random = new SplittableRandom(seed);
        endpointRules = new EndpointComponents(random, actions);
        requestRules = new RequestComponents(endpointRules, random, actions);
        endpointRules.updateSettings(settings);
        endpointRules.times.setInitialMicrosPerQueuedRequest(
                EndpointCapacity.initialMicrosPerQueuedRequest(
                        endpointRules.settings.minLatencyObjectiveMicros()));
    }

    @Override
    public void start(long nowMicros) {
        endpointRules.measurement.start(nowMicros);
        endpointRules.backgroundProbing.start(nowMicros);
        requestRules.sweepTimer.start(nowMicros);
        endpointRules.listUpdates.subscribe();
    }

    @Override
    public void updateSettings(long nowMicros, LoadBalancerSettings settings) {
        endpointRules.updateSettings(settings);
        // The peers that use an endpoint depend on the number of balancers.
        endpointRules.endpoints.update();
        requestRules.pendingRequests.sendPending(nowMicros);
    }

    @Override
    public void setMaxPendingRequests(int maxPendingRequests) {
        requestRules.pendingQueue.setMaxSize(maxPendingRequests);
    }

    @Override
    public void updateEndpoints(
            long nowMicros, EndpointListUpdateType type, List<EndpointDescriptor> entries) {
        if (endpointRules.listUpdates.apply(type, entries, nowMicros)) {
            requestRules.pendingRequests.sendPending(nowMicros);
        }
    }

    @Override
    public void requestReceived(long nowMicros, RequestDescriptor request) {
        requestRules.admission.admit(request, false, nowMicros);
    }

    @Override
    public void requestHeadReceived(long nowMicros, RequestDescriptor request) {
        requestRules.admission.admit(request, true, nowMicros);
    }

    @Override
    public void requestBodyReceived(long nowMicros, String requestId) {
        requestRules.attempts.onBodyComplete(requestId, nowMicros);
    }

    @Override
    public void attemptEnded(long nowMicros, AttemptResult result) {
        Endpoint endpoint = endpointRules.endpoints.get(result.endpointId());
        endpointRules.weights.recordReport(endpoint, result.loadReport(), nowMicros);
        requestRules.attempts.onAttemptEnd(result, nowMicros);
    }

    @Override
    public void responseStarted(long nowMicros, String requestId, int attemptIndex) {
        requestRules.attempts.onResponseStart(requestId, attemptIndex, nowMicros);
    }

    @Override
    public void clientDisconnected(long nowMicros, String requestId) {
        requestRules.finalResponses.clientDisconnected(requestId);
    }

    @Override
    public void probeCompleted(
            long nowMicros, String endpointId, AttemptOutcome outcome, LoadReport loadReport) {
        Endpoint endpoint = endpointRules.endpoints.get(endpointId);
        if (endpoint != null && outcome == AttemptOutcome.SUCCESS) {
            endpointRules.weights.recordReport(endpoint, loadReport, nowMicros);
            requestRules.probing.recordReply(endpoint, loadReport, nowMicros);
        }
        if (endpoint != null && outcome == AttemptOutcome.CONNECT_FAILED) {
            endpointRules.outliers.eject(endpoint, nowMicros);
        }
        if (requestRules.probing.endWaitIfAllReplied(nowMicros)) {
            requestRules.pendingRequests.sendPending(nowMicros);
        }
    }

    @Override
    public void timerExpired(long nowMicros, String token) {
        switch (token) {
            case FinalResponses.TIMER_TOKEN -> requestRules.finalResponses.onTimer(nowMicros);
            case LoadProbing.TIMER_TOKEN -> requestRules.pendingRequests.sendPending(nowMicros);
            case SweepTimer.TIMER_TOKEN -> sweepIfDue(nowMicros);
            default -> {
                // The token belongs to no timer of this policy.
            }
        }
    }

    private void sweepIfDue(long nowMicros) {
        if (!requestRules.sweepTimer.isDue(nowMicros)) {
            return;
        }
        requestRules.sweepTimer.scheduleNext(!requestRules.pendingQueue.isEmpty(), nowMicros);
        requestRules.finalResponses.respondWhereDue(nowMicros);
        endpointRules.outliers.ejectUnresponsive(nowMicros);
        requestRules.shedder.shedLate(nowMicros);
        endpointRules.measurement.measureIfDue(nowMicros);
        endpointRules.listUpdates.resubscribeIfDue(nowMicros);
        endpointRules.backgroundProbing.probeIfDue(nowMicros);
        requestRules.probing.probeForPending(nowMicros);
        if (requestRules.contention.maySendOnSweep()) {
            requestRules.pendingRequests.sendPending(nowMicros);
        }
    }

    @Override
    public void peerMessageReceived(long nowMicros, int peerIndex, byte[] message) {
        endpointRules.exchange.recordMessage(peerIndex, message, nowMicros);
    }

    @Override
    public int unavailableEndpointCount(long nowMicros) {
        return endpointRules.endpoints.drainingCount()
                + endpointRules.outliers.ejectedCount(nowMicros);
    }

    @Override
    public void siblingProcessChanged(long nowMicros, boolean isRunning) {
        endpointRules.sibling.setServing(isRunning);
    }

    @Override
    public LoadBalancerSnapshot exportState(long nowMicros, int fromIndex, int maxEndpoints) {
        return endpointRules.stateExport.export(fromIndex, maxEndpoints, nowMicros);
    }

    @Override
    public void restoreState(
            long nowMicros, long ageMicros, long listAgeMicros, LoadBalancerSnapshot snapshot) {
        endpointRules.stateExport.restore(snapshot, ageMicros, listAgeMicros, nowMicros);
        requestRules.pendingRequests.sendPending(nowMicros);
    }
}
