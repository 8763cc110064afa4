package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadReport;
import loadbalancer.RequestDescriptor;
import loadbalancer.ReweightingLoadBalancer;

/** Runs one policy in tests: simulates its clock and timers, and records all its actions. */
class PolicyHarness implements LoadBalancerActions {
    static final long SECOND = 1_000_000;
    static final long MILLI = 1_000;

    long nowMicros = 100 * SECOND;
    final List<String> actions = new ArrayList<>();
    final Map<String, List<String>> endpointsByRequest = new HashMap<>();
    final Map<String, Integer> sendsByEndpoint = new HashMap<>();
    final List<String> rejected = new ArrayList<>();
    final List<Long> retryAfterMicros = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    (first, second) ->
                            first.atMicros != second.atMicros
                                    ? Long.compare(first.atMicros, second.atMicros)
                                    : Long.compare(first.number, second.number));
    private long timerCount;
    private int requestCount;
    LoadBalancer balancer;
    RuleChecker checker;

    private record Timer(long atMicros, long number, String token) {}

    /** Starts a policy that knows no endpoints yet. */
    static PolicyHarness start(TestSettings config) {
        PolicyHarness harness = new PolicyHarness();
        harness.balancer = new ReweightingLoadBalancer(config.settings(), 7, harness);
        harness.balancer.start(harness.nowMicros);
        return harness;
    }

    /** Returns a list entry of endpoint {@code u<index>}. */
    static EndpointDescriptor endpoint(int index, EndpointState state, long launchedAtMicros) {
        return new EndpointDescriptor(
                "u" + index, index % 3, 0, index % 2, state, 1, launchedAtMicros);
    }

    /** Delivers a list of this many ready endpoints. */
    PolicyHarness listEndpoints(int count) {
        List<EndpointDescriptor> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(endpoint(i, EndpointState.READY, 0));
        }
        balancer.updateEndpoints(nowMicros, EndpointListUpdateType.RESTORED, all);
        return this;
    }

    /** Delivers a change of one endpoint. */
    void updateEndpoint(EndpointDescriptor entry) {
        balancer.updateEndpoints(nowMicros, EndpointListUpdateType.DELTA, List.of(entry));
    }

    /**
     * Passes a request of class 0 (idempotent), 1 (keyed) or 2 (not idempotent) to the policy and
     * returns its id.
     */
    String request(int classIndex, long timeLeftMicros) {
        return request(classIndex, timeLeftMicros, null, 20 * MILLI);
    }

    String request(int classIndex, long timeLeftMicros, String key, long workMicros) {
        String id = "r" + requestCount++;
        RequestDescriptor request =
                new RequestDescriptor(
                        id, classIndex, 0, key, workMicros, timeLeftMicros, false, false);
        if (checker != null) {
            checker.arrived(nowMicros, request);
        }
        balancer.requestReceived(nowMicros, request);
        return id;
    }

    /** Returns the endpoint to which the request was sent last; null if it was not sent. */
    String lastEndpoint(String id) {
        List<String> endpoints = endpointsByRequest.getOrDefault(id, List.of());
        return endpoints.isEmpty() ? null : endpoints.get(endpoints.size() - 1);
    }

    /** Returns the number of attempts that were sent to an endpoint. */
    int sentTo(String endpoint) {
        return sendsByEndpoint.getOrDefault(endpoint, 0);
    }

    /** Ends the last attempt of a request. */
    void endAttempt(String id, AttemptOutcome outcome, long durationMicros, LoadReport report) {
        int attempt = endpointsByRequest.get(id).size() - 1;
        balancer.attemptEnded(
                nowMicros,
                new AttemptResult(
                        id,
                        attempt,
                        lastEndpoint(id),
                        outcome,
                        durationMicros,
                        outcome == AttemptOutcome.SUCCESS,
                        report));
    }

    /**
     * Passes a request to the policy and lets the endpoint serve it, with a report of the
     * endpoint's utilization. Returns the endpoint, or null if the request was not sent.
     */
    String serve(int classIndex, long durationMicros, ToDoubleFunction<String> utilization) {
        String id = request(classIndex, 2 * SECOND);
        String endpoint = lastEndpoint(id);
        if (endpoint == null) {
            return null;
        }
        advance(durationMicros);
        endAttempt(
                id,
                AttemptOutcome.SUCCESS,
                durationMicros,
                report(utilization.applyAsDouble(endpoint)));
        return endpoint;
    }

    static LoadReport report(double utilization) {
        return new LoadReport(
                utilization, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** Advances the clock and fires the timers that become due. */
    void advance(long byMicros) {
        long untilMicros = nowMicros + byMicros;
        while (!timers.isEmpty() && timers.peek().atMicros <= untilMicros) {
            Timer timer = timers.poll();
            nowMicros = Math.max(nowMicros, timer.atMicros);
            balancer.timerExpired(nowMicros, timer.token);
        }
        nowMicros = untilMicros;
    }

    @Override
    public void sendAttempt(String request, String endpoint, long timeoutMicros) {
        actions.add(nowMicros + " send " + request + " " + endpoint);
        endpointsByRequest.computeIfAbsent(request, key -> new ArrayList<>()).add(endpoint);
        sendsByEndpoint.merge(endpoint, 1, Integer::sum);
        if (checker != null) {
            checker.sent(nowMicros, request, endpoint);
        }
    }

    @Override
    public void reject(String request, long retryAfter) {
        actions.add(nowMicros + " reject " + request);
        rejected.add(request);
        retryAfterMicros.add(retryAfter);
        if (checker != null) {
            checker.rejected(nowMicros, request);
        }
    }

    @Override
    public void fail(String request) {
        actions.add(nowMicros + " fail " + request);
        failed.add(request);
        if (checker != null) {
            checker.failed(nowMicros, request);
        }
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        actions.add(nowMicros + " cancel " + request + " " + attempt);
        cancelled.add(request + "/" + attempt);
    }

    @Override
    public void scheduleTimer(String token, long delayMicros) {
        timers.add(new Timer(nowMicros + Math.max(delayMicros, 1), timerCount++, token));
    }

    @Override
    public void probeEndpoint(String endpoint) {
        actions.add(nowMicros + " probe " + endpoint);
        probes.add(endpoint);
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        actions.add(nowMicros + " close " + endpoint);
    }

    @Override
    public void watchEndpointList(boolean on) {
        actions.add(nowMicros + " watch " + on);
    }

    @Override
    public void fetchEndpointList() {
        actions.add(nowMicros + " fetch");
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        actions.add(nowMicros + " notify " + peer);
        peerMessages.add(body);
    }

    @Override
    public void log(String text) {
        actions.add(nowMicros + " log " + text);
    }
}
