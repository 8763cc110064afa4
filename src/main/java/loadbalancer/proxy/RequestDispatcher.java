package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.RequestDescriptor;
import loadbalancer.proxy.ProcessMetrics.Ending;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * Entry point for requests, settings, endpoint lists and shutdown. Admits each request, reports its
 * events to the policy, and makes sure that it gets exactly one final response. {@link
 * PolicyActions} carries out the decisions of the policy. Used on the event loop only, except where
 * a method says otherwise.
 */
public final class RequestDispatcher {
    /** Time to wait for discovery at startup before serving from a restored endpoint list. */
    private static final long RESTORED_LIST_DELAY_MILLIS = 1_000;

    /** Interval at which the endpoint counts in the metrics are updated. */
    private static final long ENDPOINT_COUNT_INTERVAL_MILLIS = 100;

    /** Retry-After of a request that was shed: memory is free again once others have ended. */
    private static final long SHED_RETRY_AFTER_MICROS = TimeUnit.SECONDS.toMicros(1);

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
    private RecentRequestIds recentIds;
    private LoadedSettings settings;
    private EndpointDiscovery discovery;

    /** Whether the time has passed in which discovery could have sent a list after the start. */
    private boolean isRestoredListUsable;

    private volatile boolean ready;

    /**
     * Creates a dispatcher on the event loop of the transport, and its policy.
     *
     * @param authority host name or address of this balancer, the authority of its load probes
     */
    public RequestDispatcher(
            Transport transport,
            LoadedSettings settings,
            PolicySetup policySetup,
            String authority,
            UpstreamTransport upstreams,
            ProcessMetrics metrics) {
        this.transport = transport;
        this.loop = transport.loop();
        this.settings = settings;
        this.upstreams = upstreams;
        this.metrics = metrics;
        this.clock = new PolicyClock(transport);
        this.lag = new EventLoopLag(transport::nanoTime);
        this.reports = new LoadReports();
        reports.updateSettings(settings.settings());
        this.audit = new SendAudit(metrics.violations(), transport::nanoTime, settings.settings());
        this.policy = new PolicyEventQueue(clock);
        this.recentIds = RecentRequestIds.local(transport::nanoTime);
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
        settings.classNames().forEach(metrics::register);
        this.balancer =
                policySetup.factory().create(settings.settings(), policySetup.seed(), actions);
        policy.attach(balancer);
        balancer.setMaxPendingRequests(policySetup.maxPendingRequests());
    }

    /**
     * Starts the policy and the watch of the endpoint list.
     *
     * @param restored the endpoint list that was last stored
     */
    public void start(EndpointDiscovery source, EndpointListUpdate restored) {
        discovery = source;
        actions.setDiscovery(source);
        RepeatingTask.every(
                loop,
                ENDPOINT_COUNT_INTERVAL_MILLIS,
                "update of the endpoint counts",
                () ->
                        metrics.setEndpointCounts(
                                upstreams.endpointCount(),
                                balancer.unavailableEndpointCount(clock.nowMicros())));
        policy.post(LoadBalancer::start);
        updateEndpoints(EndpointListUpdateType.RESTORED, restored);
        if (!settings.settings().isEndpointListOnRequest()) {
            discovery.watch(true);
        }
        loop.schedule(this::useRestoredList, RESTORED_LIST_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void useRestoredList() {
        isRestoredListUsable = true;
        ready |= !endpoints.isEmpty();
    }

    /** Applies validated settings. Requests in flight keep those in force when they arrived. */
    public void updateSettings(LoadedSettings next) {
        settings = next;
        next.classNames().forEach(metrics::register);
        audit.updateSettings(next.settings());
        reports.updateSettings(next.settings());
        policy.post((policy, now) -> policy.updateSettings(now, next.settings()));
    }

    /** Returns whether an endpoint list to serve from is available. May be called on any thread. */
    public boolean isReady() {
        return ready;
    }

    // Discovery

    /**
     * Applies an endpoint list, or changes to it, from discovery, from stored state or from a
     * sibling process.
     */
    public void updateEndpoints(EndpointListUpdateType type, EndpointListUpdate update) {
        EndpointListUpdate list = endpoints.withoutReplaced(update);
        upstreams.updateEndpoints(list);
        audit.updateEndpoints(list, type == EndpointListUpdateType.RESTORED);
        endpoints.apply(list);
        boolean isTold =
                type == EndpointListUpdateType.FULL || type == EndpointListUpdateType.DELTA;
        ready |= isTold || isRestoredListUsable && !endpoints.isEmpty();
        policy.post(
                (policy, now) ->
                        policy.updateEndpoints(
                                now,
                                type,
                                list.entries().stream()
                                        .map(e -> e.toDescriptor(settings))
                                        .toList()));
    }

    /** Reports to the policy that a call to discovery failed. */
    public void endpointListUnavailable() {
        policy.post(
                (policy, now) ->
                        policy.updateEndpoints(now, EndpointListUpdateType.UNAVAILABLE, List.of()));
    }

    /** Returns the table of listed endpoints, which later updates change. */
    public EndpointTable endpointTable() {
        return endpoints;
    }

    // State that outlives the process

    /**
     * Gives the policy the learnt state of a previous process or of a sibling process.
     *
     * @param ageMicros age of the learnt state
     * @param listAgeMicros age of the endpoint list that was restored
     */
    public void restoreState(long ageMicros, long listAgeMicros, LoadBalancerSnapshot snapshot) {
        policy.post((policy, now) -> policy.restoreState(now, ageMicros, listAgeMicros, snapshot));
    }

    /**
     * Returns the learnt state of the policy.
     *
     * @param fromIndex index of the first endpoint to include
     * @param maxEndpoints maximum number of endpoints to include
     */
    public LoadBalancerSnapshot exportState(int fromIndex, int maxEndpoints) {
        return balancer.exportState(clock.nowMicros(), fromIndex, maxEndpoints);
    }

    /** Reports to the policy whether a sibling process is running. */
    public void siblingProcessChanged(boolean isRunning) {
        policy.post((policy, now) -> policy.siblingProcessChanged(now, isRunning));
    }

    // Clients

    /** Uses ids that are shared with another process. Called before the first request. */
    public void shareRecentIds(RecentRequestIds shared) {
        recentIds = shared;
    }

    /** Returns whether a request with this id may have been executed, now or shortly before. */
    public boolean isRecent(String id) {
        return recentIds.contains(id);
    }

    /** Returns whether a request with this id is in flight. */
    public boolean isInFlight(String id) {
        return requests.contains(id);
    }

    /**
     * Accepts a request. The client gets exactly one final response unless it disconnects first. If
     * the body is not complete, the caller calls {@link #bodyReceived} once it is.
     */
    public void requestReceived(
            RequestDescriptor request, RequestHead head, RequestBody body, ResponseSink client) {
        metrics.requestReceived();
        admit(withoutLag(request), head, body, client);
    }

    /**
     * Reduces the time left of a request by twice the lag of the event loop: the request may have
     * waited unread for that long, and its final response may be delayed by as much. Its client
     * counts from the moment at which it sent the request.
     */
    private RequestDescriptor withoutLag(RequestDescriptor request) {
        long lagMicros = 2 * TimeUnit.NANOSECONDS.toMicros(lag.lagNanos());
        return lagMicros == 0
                ? request
                : request.withTimeLeft(Math.max(0, request.timeLeftMicros() - lagMicros));
    }

    private void admit(
            RequestDescriptor descriptor, RequestHead head, RequestBody body, ResponseSink client) {
        String className = settings.classNames().get(descriptor.classIndex());
        boolean isComplete = body.isComplete();
        long timeLeftMicros =
                descriptor.timeLeftMicros() + (isComplete ? 0 : RequestTimers.MAX_BODY_MICROS);
        if (actions.isClosed()) {
            body.release();
            metrics.requestEnded(className, Ending.BAD_GATEWAY);
            client.respondFailed();
            return;
        }
        int maxOpen = settings.settings().limits().maxOpenRequests();
        boolean isTooLate = timeLeftMicros <= settings.settings().deadlineMarginMicros();
        if (isTooLate || maxOpen > 0 && requests.size() >= maxOpen) {
            body.release();
            metrics.requestEnded(className, Ending.DROPPED);
            client.respondRejected(0);
            return;
        }
        InFlightRequest request =
                new InFlightRequest(
                        descriptor, className, settings.settings(), head, body, client, recentIds);
        requests.add(request);
        timers.startDeadline(request, timeLeftMicros);
        if (isComplete) {
            audit.bodyReceived(request.audit());
            policy.post((policy, now) -> policy.requestReceived(now, descriptor));
        } else {
            body.onFlowChange(isBlocked -> timers.bodyFlowChanged(request, isBlocked));
            policy.post((policy, now) -> policy.requestHeadReceived(now, descriptor));
        }
    }

    /**
     * Rejects a request that was shed for want of memory, so that its client may retry it.
     *
     * @param className the name of its class; null if it named none
     * @return false, without a response, if there is no such class
     */
    public boolean requestShed(String className, ResponseSink client) {
        if (className == null || !settings.classNames().contains(className)) {
            return false;
        }
        metrics.requestReceived();
        metrics.requestEnded(className, Ending.DROPPED);
        LoadBalancerLimits limits = settings.settings().limits();
        client.respondRejected(
                limits.isRetryAfterAllowed()
                        ? Math.min(limits.maxRetryAfterMicros(), SHED_RETRY_AFTER_MICROS)
                        : 0);
        return true;
    }

    /** Records that the body of a request is complete, which starts the client time-out. */
    public void bodyReceived(String id) {
        InFlightRequest request = requests.get(id);
        if (request != null && !request.isConcluded() && !request.isStreaming()) {
            timers.bodyReceived(request);
            audit.bodyReceived(request.audit());
            policy.post((policy, now) -> policy.requestBodyReceived(now, id));
        }
    }

    /** Abandons a request whose client has disconnected. */
    public void clientDisconnected(String id) {
        InFlightRequest request = requests.get(id);
        if (request == null || request.isConcluded()) {
            return;
        }
        request.audit().clientDisconnected();
        requests.abandon(request);
        // Posted first: otherwise the policy would take the end of an attempt for the end of the
        // request.
        policy.post((policy, now) -> policy.clientDisconnected(now, id));
        // The policy may let other attempts run on. These can't: they were not sent yet, or their
        // body or their stream ends with the client.
        boolean isCutShort = request.isStreaming() || !request.body().isComplete();
        attempts.abandonAll(
                request, attempt -> isCutShort || attempt.isUnsent(), AttemptOutcome.CANCELLED);
    }

    /**
     * Ends all attempts of a request at its deadline. If the policy, which receives these results,
     * does not conclude the request, the request fails.
     */
    private void expire(InFlightRequest request, RequestLog.Expiry expiry) {
        RequestLog.expired(request, expiry);
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

    /** Fails all requests in flight now, and all that arrive later. */
    public void failAllInFlight() {
        actions.close();
        for (InFlightRequest request : requests.all()) {
            // Otherwise the policy would send another attempt when it learns of the end of this
            // one.
            request.expireNow(clock.nowMicros());
            expire(request, RequestLog.Expiry.SHUTDOWN);
        }
    }

    /** Reports requests without a final response as violations. Called when the process ends. */
    public void reportUnanswered() {
        requests.reportUnanswered(violations(), transport.nanoTime());
    }

    /** Returns the violations that the run-time checks found. */
    public Violations violations() {
        return metrics.violations();
    }
}
