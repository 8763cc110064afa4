package loadbalancer.proxy;

import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.LoadBalancerActions;
import loadbalancer.proxy.ProcessMetrics.Ending;

/**
 * Does what the policy decides: attempts, final responses, probes, timers and calls to discovery.
 * Used on the event loop only, from within an event of the policy.
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

    /** Whether the process has given its last responses, and nothing is sent any more. */
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

    /** Sets where the endpoint list comes from, once, before the policy starts. */
    void follow(EndpointDiscovery source) {
        discovery = source;
    }

    /** Sends no attempt from now on. */
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

    /** The policy still gets the one end of each attempt that it has decided on. */
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

    /** Balancers have no connection to each other here, and a policy told so sends nothing. */
    @Override
    public void sendToPeer(int peerIndex, byte[] message) {}

    @Override
    public void log(String message) {
        LOG.log(System.Logger.Level.INFO, message);
    }
}
