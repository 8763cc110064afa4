package loadbalancer.proxy;

import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.LoadBalancerActions;
import loadbalancer.proxy.ProcessMetrics.Ending;

/**
 * Carries out the decisions of the policy: attempts, final responses, probes, timers and calls to
 * discovery. Used on the event loop only, while the policy handles an event.
 */
final class PolicyActions implements LoadBalancerActions {
    private static final System.Logger LOG = System.getLogger(PolicyActions.class.getName());

    private final PolicyClock clock;
    private final PolicyEventQueue policy;
    private final InFlightRequests requests;
    private final AttemptRunner attempts;
    private final UpstreamTransport upstreams;
    private final LoadProber prober;
    private final PolicyTimers timers;
    private EndpointDiscovery discovery;

    /** Set once the process shuts down; no attempt is sent from then on. */
    private boolean closed;

    PolicyActions(
            PolicyClock clock,
            PolicyEventQueue policy,
            InFlightRequests requests,
            AttemptRunner attempts,
            UpstreamTransport upstreams,
            LoadProber prober,
            PolicyTimers timers) {
        this.clock = clock;
        this.policy = policy;
        this.requests = requests;
        this.attempts = attempts;
        this.upstreams = upstreams;
        this.prober = prober;
        this.timers = timers;
    }

    /** Sets the source of the endpoint list. Called once, before the policy starts. */
    void setDiscovery(EndpointDiscovery source) {
        discovery = source;
    }

    /** Refuses all further attempts. */
    void close() {
        closed = true;
    }

    boolean isClosed() {
        return closed;
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long timeoutMicros) {
        InFlightRequest request = requests.get(requestId);
        if (!closed && request != null && request.mayAddAttempt(clock.nowMicros())) {
            attempts.start(request, endpointId, timeoutMicros);
        } else {
            refuseAttempt(requestId, request, endpointId);
        }
    }

    /**
     * Reports an attempt as not sent. The policy receives exactly one result for each attempt that
     * it has decided on.
     */
    private void refuseAttempt(String requestId, InFlightRequest request, String endpointId) {
        int index = 0;
        if (request != null) {
            UpstreamAttempt attempt = request.addAttempt(endpointId, clock.nowMicros());
            attempt.end(AttemptOutcome.NOT_SENT);
            index = attempt.index();
        }
        int attemptIndex = index;
        policy.post(
                (policy, now) ->
                        policy.attemptEnded(
                                now, notSent(requestId, attemptIndex, endpointId, request)));
    }

    private static AttemptResult notSent(
            String requestId, int attemptIndex, String endpointId, InFlightRequest request) {
        return new AttemptResult(
                requestId,
                attemptIndex,
                endpointId,
                AttemptOutcome.NOT_SENT,
                0,
                request == null || request.isConcluded(),
                null);
    }

    @Override
    public void cancelAttempt(String requestId, int attemptIndex) {
        InFlightRequest request = requests.get(requestId);
        if (request != null && attemptIndex >= 0 && attemptIndex < request.attempts().size()) {
            attempts.abandon(
                    request, request.attempts().get(attemptIndex), AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        InFlightRequest request = requests.get(requestId);
        if (awaitsResponse(request)) {
            requests.concludeWith(request, Ending.DROPPED);
            request.client().respondRejected(retryAfterMicros);
        }
    }

    @Override
    public void fail(String requestId) {
        InFlightRequest request = requests.get(requestId);
        if (awaitsResponse(request)) {
            requests.concludeWith(request, Ending.BAD_GATEWAY);
            request.client().respondFailed();
        }
    }

    private static boolean awaitsResponse(InFlightRequest request) {
        return request != null && !request.isConcluded() && !request.isStreaming();
    }

    @Override
    public void scheduleTimer(String token, long delayMicros) {
        timers.schedule(token, delayMicros);
    }

    @Override
    public void probeEndpoint(String endpointId) {
        prober.probe(endpointId);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        upstreams.closeIdleConnections(endpointId);
    }

    @Override
    public void watchEndpointList(boolean isWatching) {
        discovery.watch(isWatching);
    }

    @Override
    public void fetchEndpointList() {
        discovery.fetch();
    }

    /**
     * Does nothing. Balancers have no connections to each other in this program, and the policy,
     * which is configured accordingly, sends no messages.
     */
    @Override
    public void sendToPeer(int peerIndex, byte[] message) {}

    @Override
    public void log(String message) {
        LOG.log(System.Logger.Level.INFO, message);
    }
}
