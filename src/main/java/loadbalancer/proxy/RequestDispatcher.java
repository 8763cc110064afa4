package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.RequestDescriptor;
import loadbalancer.proxy.ProcessMetrics.Ending;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * Leads each request from its arrival to its one final response: takes it from the client's side,
 * gives the policy its events, and passes on what attempts bring. {@link PolicyActions} does what
 * the policy decides. Used on the event loop only, except where a method says otherwise.
 */
public final class RequestDispatcher {
    /** How long a start waits for discovery before it serves from a restored endpoint list. */
    private static final long RESTORED_LIST_DELAY_MILLIS = 1_000;

    /** How often the number of endpoints in the metrics is brought up to date. */
    private static final long ENDPOINT_COUNT_INTERVAL_MILLIS = 100;

    private final EventLoop loop;
    private final Transport transport;
    private final UpstreamTransport upstreams;
    private final ProcessMetrics metrics;
    private final SendAudit audit;
    private final EventLoopLag lag;
    private final LoadReports reports;
    private final PolicyClock clock;
    private final LoadBalancer balancer;
    private final PolicyEventQueue policy;
    private final PolicyActions actions;
    private final AttemptRunner attempts;
    private final InFlightRequests requests;
    private final RequestTimers timers;
    private final EndpointTable endpoints = new EndpointTable();
    private LoadedSettings facts;
    private EndpointDiscovery discovery;
    private volatile boolean ready;

    /**
     * On the transport's loop, with a policy of its own.
     *
     * @param authority what the balancer calls itself towards endpoints
     */
    public RequestDispatcher(
            Transport transport,
            LoadedSettings facts,
            PolicySetup policySetup,
            String authority,
            UpstreamTransport upstreams,
            ProcessMetrics metrics) {
        this.transport = transport;
        this.loop = transport.loop();
        this.facts = facts;
        this.upstreams = upstreams;
        this.metrics = metrics;
        this.clock = new PolicyClock(transport);
        this.lag = new EventLoopLag(transport::nanoTime);
        this.reports = new LoadReports();
        reports.updateSettings(facts.settings());
        this.audit = new SendAudit(metrics.violations(), transport::nanoTime, facts.settings());
        this.policy = new PolicyEventQueue(clock);
        this.requests = new InFlightRequests(metrics, audit);
        this.timers = new RequestTimers(loop, clock, this::expire);
        this.attempts = new AttemptRunner(loop, clock, upstreams, metrics, audit);
        this.actions =
                new PolicyActions(
                        clock,
                        policy,
                        requests,
                        attempts,
                        upstreams,
                        new LoadProber(loop, upstreams, policy, reports, authority),
                        new PolicyTimers(loop, policy, lag));
        attempts.setListener(
                new AttemptEventHandler(
                        clock, policy, requests, attempts, reports, this::clientDisconnected));
        facts.classNames().forEach(metrics::register);
        this.balancer = policySetup.factory().create(facts.settings(), policySetup.seed(), actions);
        policy.attach(balancer);
        balancer.setMaxPendingRequests(policySetup.maxPendingRequests());
    }

    /** Starts the policy with the list as last held, and begins to follow discovery. */
    public void start(EndpointDiscovery source, EndpointListUpdate restored) {
        discovery = source;
        actions.follow(source);
        RepeatingTask.every(
                loop,
                ENDPOINT_COUNT_INTERVAL_MILLIS,
                "counting endpoints",
                () ->
                        metrics.setEndpointCounts(
                                upstreams.endpointCount(),
                                balancer.unavailableEndpointCount(clock.nowMicros())));
        policy.post(LoadBalancer::start);
        updateEndpoints(EndpointListUpdateType.RESTORED, restored);
        if (!facts.settings().isEndpointListOnRequest()) {
            discovery.watch(true);
        }
        if (!restored.entries().isEmpty()) {
            loop.schedule(
                    () -> {
                        ready = true;
                    },
                    RESTORED_LIST_DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Takes validated settings: requests in flight keep those that they arrived under. */
    public void updateSettings(LoadedSettings next) {
        facts = next;
        next.classNames().forEach(metrics::register);
        audit.updateSettings(next.settings());
        reports.updateSettings(next.settings());
        policy.post((policy, now) -> policy.updateSettings(now, next.settings()));
    }

    /** Whether there are endpoints to serve from. Any thread. */
    public boolean isReady() {
        return ready;
    }

    // Discovery

    /** Discovery has delivered a list, or changes of it. */
    public void updateEndpoints(EndpointListUpdateType type, EndpointListUpdate list) {
        upstreams.updateEndpoints(list);
        audit.updateEndpoints(list, type == EndpointListUpdateType.RESTORED);
        endpoints.apply(list);
        ready |= type == EndpointListUpdateType.FULL || type == EndpointListUpdateType.DELTA;
        policy.post(
                (policy, now) ->
                        policy.updateEndpoints(
                                now,
                                type,
                                list.entries().stream().map(e -> e.toDescriptor(facts)).toList()));
    }

    /** A call to discovery has failed. */
    public void endpointListUnavailable() {
        policy.post(
                (policy, now) ->
                        policy.updateEndpoints(now, EndpointListUpdateType.UNAVAILABLE, List.of()));
    }

    /** The complete endpoint list as it is now. */
    public EndpointTable endpointTable() {
        return endpoints;
    }

    // State that outlives the process

    /** Takes over what a process before or beside this one had learnt, and how old that is. */
    public void restoreState(long ageMicros, long listAgeMicros, LoadBalancerSnapshot snapshot) {
        policy.post((policy, now) -> policy.restoreState(now, ageMicros, listAgeMicros, snapshot));
    }

    /** What the policy has learnt, with at most so many endpoints from an index on. */
    public LoadBalancerSnapshot exportState(int fromIndex, int maxEndpoints) {
        return balancer.exportState(clock.nowMicros(), fromIndex, maxEndpoints);
    }

    /** Whether a sibling process runs beside this one. */
    public void siblingProcessChanged(boolean isRunning) {
        policy.post((policy, now) -> policy.siblingProcessChanged(now, isRunning));
    }

    // Clients

    /** Whether a request of this id is in flight. */
    public boolean isInFlight(String id) {
        return requests.contains(id);
    }

    /**
     * Takes a request; exactly one final response follows unless the client disconnects first. If
     * its body is not complete, {@link #bodyReceived} follows.
     */
    public void requestReceived(
            RequestDescriptor request, RequestHead head, RequestBody body, ResponseSink client) {
        metrics.requestReceived();
        admit(withoutLag(request), head, body, client);
    }

    /**
     * The request with the time that a late event loop leaves it: it may have waited unread for as
     * long as the loop is late, and its final response may go out as late. Its client counts from
     * when it sent the request.
     */
    private RequestDescriptor withoutLag(RequestDescriptor request) {
        long lagMicros = 2 * TimeUnit.NANOSECONDS.toMicros(lag.lagNanos());
        return lagMicros == 0
                ? request
                : request.withTimeLeft(Math.max(0, request.timeLeftMicros() - lagMicros));
    }

    private void admit(
            RequestDescriptor descriptor, RequestHead head, RequestBody body, ResponseSink client) {
        String className = facts.classNames().get(descriptor.classIndex());
        boolean isComplete = body.isComplete();
        long left = descriptor.timeLeftMicros() + (isComplete ? 0 : RequestTimers.MAX_BODY_MICROS);
        if (actions.isClosed()) {
            body.release();
            metrics.requestEnded(className, Ending.BAD_GATEWAY);
            client.respondFailed();
            return;
        }
        int maxOpen = facts.settings().limits().maxOpenRequests();
        boolean isTooLate = left <= facts.settings().deadlineMarginMicros();
        if (isTooLate || maxOpen > 0 && requests.size() >= maxOpen) {
            body.release();
            metrics.requestEnded(className, Ending.DROPPED);
            client.respondRejected(0);
            return;
        }
        InFlightRequest request =
                new InFlightRequest(descriptor, className, facts.settings(), head, body, client);
        requests.add(request);
        timers.startDeadline(request, left);
        if (isComplete) {
            audit.bodyReceived(request.audit());
            policy.post((policy, now) -> policy.requestReceived(now, descriptor));
        } else {
            body.onFlowChange(isBlocked -> timers.bodyFlowChanged(request, isBlocked));
            policy.post((policy, now) -> policy.requestHeadReceived(now, descriptor));
        }
    }

    /** The body of a request is complete: from now on its time counts. */
    public void bodyReceived(String id) {
        InFlightRequest request = requests.get(id);
        if (request != null && !request.isConcluded() && !request.isStreaming()) {
            timers.startDeadline(request, request.descriptor().timeLeftMicros());
            audit.bodyReceived(request.audit());
            policy.post((policy, now) -> policy.requestBodyReceived(now, id));
        }
    }

    /** The client has disconnected. */
    public void clientDisconnected(String id) {
        InFlightRequest request = requests.get(id);
        if (request == null || request.isConcluded()) {
            return;
        }
        request.audit().clientDisconnected();
        requests.abandon(request);
        // First, or the policy would take the end of an attempt for that of the request.
        policy.post((policy, now) -> policy.clientDisconnected(now, id));
        // The policy may let attempts run on, but these can't.
        boolean isCutShort = request.isStreaming() || !request.body().isComplete();
        attempts.abandonAll(
                request, attempt -> isCutShort || attempt.isUnsent(), AttemptOutcome.CANCELLED);
    }

    /**
     * At the deadline: ends all attempts, and responds if the policy, notified of that, does not.
     */
    private void expire(InFlightRequest request) {
        attempts.abandonAll(request, attempt -> true, AttemptOutcome.TIMEOUT);
        policy.post(
                (policy, now) -> {
                    if (!request.isConcluded()) {
                        requests.failExpired(request);
                        policy.clientDisconnected(now, request.id());
                    }
                });
    }

    // Shutdown

    /** Gives every request in flight, and every later one, its final response now. */
    public void failAllInFlight() {
        actions.close();
        for (InFlightRequest request : requests.all()) {
            // Or the policy, notified of the end of the attempt, would send another.
            request.expireNow(clock.nowMicros());
            expire(request);
        }
    }

    /** Reports the requests that still have no final response as the process ends. */
    public void reportUnanswered() {
        requests.reportUnanswered(violations(), transport.nanoTime());
    }

    /** What the run-time checks have found. */
    public Violations violations() {
        return metrics.violations();
    }
}
