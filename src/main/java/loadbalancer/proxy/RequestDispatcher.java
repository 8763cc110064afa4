package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;
import loadbalancer.RequestDescriptor;
import loadbalancer.proxy.ProcessMetrics.Ending;
import loadbalancer.proxy.UpstreamTransport.Answer;
import loadbalancer.settings.SettingsReader;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * Owns the decision module and does for it on sockets what the simulator did: clock, timers,
 * attempts and their ends. Everything happens on the one event loop.
 */
public final class RequestDispatcher implements LoadBalancerActions {
    private static final System.Logger LOG = System.getLogger(RequestDispatcher.class.getName());

    /** How long a probe may take: an upstream that hangs takes it and says nothing. */
    private static final long PROBE_TIMEOUT_MS = 500;

    /**
     * How long to wait for a list from discovery before serving from the one held before the start.
     */
    private static final long TRUST_KNOWN_MS = 1_000;

    /** So long a body may be on its way; how fast it has to come is for the side that reads it. */
    private static final long LONGEST_BODY_MS = 600_000;

    /** So much of a body may lie between a client that has sent all of it and us. */
    private static final long UNDERWAY = 256 * 1024;

    /** A body of which more is still to be sent may be held up for so long. */
    private static final long LONGEST_STALL_MS = 10_000;

    /** How often operators get to see another number of upstreams. */
    private static final long FLEET_MS = 100;

    private final EventLoop loop;
    private final Transport transport;
    private SettingsReader.Found facts;
    private final String host;
    private final UpstreamTransport upstreams;
    private final AttemptRunner attempts;
    private final SendAudit audit;
    private final LoadReports reports = new LoadReports();
    private final ProcessMetrics figures;
    private final LoadBalancer balancer;
    private final Map<String, InFlightRequest> open = new HashMap<>();
    private final Deque<Runnable> events = new ArrayDeque<>();
    private final long epochMicros;
    private final long origin;
    private final EndpointTable roster = new EndpointTable();
    private final EventLoopLag lateness;
    private EndpointDiscovery discovery;
    private boolean inEvent;

    /** Whether the last answers are given, and nothing is sent any more. */
    private boolean closed;

    private volatile boolean ready;

    /**
     * On the transport's loop, with a module of its own that draws its chance from the seed.
     *
     * @param host what the balancer calls itself towards upstreams
     * @param mayHold how many requests may wait for an upstream at a time
     */
    public RequestDispatcher(
            Transport transport,
            SettingsReader.Found facts,
            long seed,
            String host,
            int mayHold,
            UpstreamTransport upstreams,
            ProcessMetrics figures,
            LoadBalancerFactory modules) {
        this.transport = transport;
        this.loop = transport.loop();
        this.epochMicros = transport.wallMillis() * 1_000;
        this.origin = transport.nanoTime();
        this.lateness = new EventLoopLag(transport::nanoTime);
        this.facts = facts;
        this.host = host;
        this.upstreams = upstreams;
        this.audit = new SendAudit(figures.violations(), transport::nanoTime, facts.settings());
        this.attempts =
                new AttemptRunner(loop, this::now, upstreams, figures, audit, new Followed());
        this.figures = figures;
        facts.classes().forEach(figures::show);
        this.balancer = modules.make(facts.settings(), seed, this);
        balancer.setMaxPendingRequests(mayHold);
    }

    /** Brings up the module with the list as last held, and begins to follow discovery. */
    public void start(EndpointDiscovery source, EndpointListUpdate known) {
        discovery = source;
        RepeatingTask.every(
                loop,
                FLEET_MS,
                "counting upstreams",
                () -> figures.fleet(upstreams.listed(), balancer.unavailableEndpointCount(now())));
        event(() -> balancer.start(now()));
        list(EndpointListUpdateType.RESTORED, known);
        if (!facts.settings().isEndpointListPolled()) {
            discovery.watch(true);
        }
        if (!known.entries().isEmpty()) {
            loop.schedule(
                    () -> {
                        ready = true;
                    },
                    TRUST_KNOWN_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * New settings, already found good: for the module one event, for requests to come one whole.
     */
    public void settings(SettingsReader.Found next) {
        facts = next;
        next.classes().forEach(figures::show);
        audit.settings(next.settings());
        event(() -> balancer.updateSettings(now(), next.settings()));
    }

    /** Whether there are upstreams to serve from; any thread may ask. */
    public boolean ready() {
        return ready;
    }

    /**
     * Unix time in microseconds that never steps: the module's clock, and what its start times are
     * in.
     */
    private long now() {
        return epochMicros + (transport.nanoTime() - origin) / 1_000;
    }

    /**
     * Hands the module one event. What its actions bring about at once (a cancelled attempt, say)
     * would call it again in the middle of the first, so that waits in line.
     */
    private void event(Runnable event) {
        events.add(event);
        if (inEvent) {
            return;
        }
        inEvent = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.run();
                } catch (RuntimeException e) {
                    // The request of this event, if any, still has its deadline to be answered at.
                    LOG.log(System.Logger.Level.ERROR, "the module failed on an event", e);
                }
            }
        } finally {
            inEvent = false;
        }
    }

    // ---- From discovery
    // ------------------------------------------------------------------------------

    /** Discovery has told a list or changes of it. */
    public void list(EndpointListUpdateType kind, EndpointListUpdate list) {
        upstreams.apply(list);
        audit.list(list, kind == EndpointListUpdateType.RESTORED);
        roster.apply(list);
        ready |= kind == EndpointListUpdateType.FULL || kind == EndpointListUpdateType.DELTA;
        event(
                () ->
                        balancer.updateEndpoints(
                                now(),
                                kind,
                                list.entries().stream().map(e -> e.toModule(facts)).toList()));
    }

    /** The whole list as it is now. */
    public EndpointTable roster() {
        return roster;
    }

    // ---- What outlives a process
    // ---------------------------------------------------------------------

    /** What a process before or beside this one had learnt, and how old that is; microseconds. */
    public void recall(long age, long listAge, LoadBalancerSnapshot memory) {
        event(() -> balancer.restoreState(now(), age, listAge, memory));
    }

    /** What the module has learnt, with {@code most} upstreams from place {@code from}. */
    public LoadBalancerSnapshot memory(int from, int most) {
        return balancer.exportState(now(), from, most);
    }

    /** Whether a second process serves beside this one. */
    public void beside(boolean another) {
        event(() -> balancer.siblingProcessChanged(now(), another));
    }

    /** A call to discovery brought nothing. */
    public void listUnavailable() {
        event(() -> balancer.updateEndpoints(now(), EndpointListUpdateType.UNAVAILABLE, List.of()));
    }

    // ---- From clients
    // --------------------------------------------------------------------------------

    /** Whether a request under this id is open. */
    public boolean isOpen(String id) {
        return open.containsKey(id);
    }

    /**
     * Takes a request and its message; exactly one answer follows unless the client leaves first.
     * Of a large body more may follow, and {@link #received} then tells of its end.
     */
    public void request(
            RequestDescriptor request, RequestHead head, RequestBody body, ResponseSink client) {
        figures.taken();
        open(inTime(request), head, body, client);
    }

    /**
     * The request with the time that a loop which is behind leaves it: so long it may have waited
     * unread, and as much later its last answer may go out. Its client counts from when it was
     * sent.
     */
    private RequestDescriptor inTime(RequestDescriptor request) {
        long behind = 2 * TimeUnit.NANOSECONDS.toMicros(lateness.behind());
        return behind == 0
                ? request
                : request.withTimeLeft(Math.max(0, request.timeLeftMicros() - behind));
    }

    private void open(
            RequestDescriptor request, RequestHead head, RequestBody body, ResponseSink client) {
        String className = facts.classes().get(request.classIndex());
        long left = request.timeLeftMicros() + (body.isEnded() ? 0 : LONGEST_BODY_MS * 1_000);
        InFlightRequest o =
                new InFlightRequest(
                        request, className, facts.settings(), head, body, client, now() + left);
        if (closed) {
            body.release();
            count(o, Ending.BAD_GATEWAY);
            client.failed();
            return;
        }
        int most = o.limits.maxOpenRequests();
        boolean over =
                left
                        <= facts.settings()
                                .deadlineMarginMicros(); // read too late for any attempt to begin
        if (over || most > 0 && open.size() >= most) {
            body.release();
            count(o, Ending.DROPPED);
            client.refused(0);
            return;
        }
        open.put(request.id(), o);
        expireIn(o, left);
        if (!body.isEnded()) {
            body.flow(blocked -> held(o, blocked));
        }
        if (body.isEnded()) {
            audit.isWhole(o.audit);
            event(() -> balancer.requestReceived(now(), request));
        } else {
            event(() -> balancer.requestHeadReceived(now(), request));
        }
    }

    private void expireIn(InFlightRequest o, long left) {
        o.deadline = now() + left;
        o.atDeadline = loop.schedule(() -> overdue(o), left, TimeUnit.MICROSECONDS);
    }

    /**
     * A body is held up, because no upstream has it yet or the one that does takes nothing, or goes
     * on. The client may have sent its last byte all the same, and then its time runs out unseen;
     * but one that writes slowly can't have, and its time has not begun.
     */
    private void held(InFlightRequest o, boolean blocked) {
        if (o.atStall != null) {
            o.atStall.cancel(false);
            o.atStall = null;
        }
        if (blocked && !o.concluded && !o.streaming) {
            boolean nearlyAll = o.body.length() < 0 || o.body.length() - o.body.came() <= UNDERWAY;
            long longest = LONGEST_STALL_MS * 1_000;
            long patience =
                    !nearlyAll
                            ? longest
                            : Math.min(longest, o.body.missingFor() + o.request.timeLeftMicros());
            o.atStall = loop.schedule(() -> overdue(o), patience, TimeUnit.MICROSECONDS);
        }
    }

    /** All of a request's body has come: from now on its time counts. */
    public void received(String id) {
        InFlightRequest o = open.get(id);
        if (o != null && !o.concluded && !o.streaming) {
            o.atDeadline.cancel(false);
            expireIn(o, o.request.timeLeftMicros());
            audit.isWhole(o.audit);
            event(() -> balancer.requestBodyReceived(now(), id));
        }
    }

    /** The client has closed its connection. */
    public void gone(String id) {
        InFlightRequest o = open.get(id);
        if (o != null && !o.concluded) {
            o.audit.clientGone();
            conclude(o, null);
            event(
                    () ->
                            balancer.clientDisconnected(
                                    now(), id)); // first, or it would take the request for ended
            boolean cutShort = o.streaming || !o.body.isEnded();
            // The module may let attempts run on, but these can't.
            attempts.giveUpAll(o, t -> cutShort || t.isUnsent(), AttemptOutcome.CANCELLED);
        }
    }

    /** At the deadline: ends what is out, and answers if the module, told of that, does not. */
    private void overdue(InFlightRequest o) {
        attempts.giveUpAll(o, t -> true, AttemptOutcome.TIMEOUT);
        event(
                () -> {
                    if (!o.concluded) {
                        conclude(o, Ending.BAD_GATEWAY);
                        if (o.streaming) {
                            o.client.end(false);
                        } else {
                            o.client.failed();
                        }
                        balancer.clientDisconnected(now(), o.request.id());
                    }
                });
    }

    /**
     * A planned stop has run out of time: what is open, or comes later, gets its answer while it
     * can.
     */
    public void failAll() {
        closed = true;
        for (InFlightRequest o : List.copyOf(open.values())) {
            o.deadline = now(); // or the module, told that the attempt is over, would send another
            overdue(o);
        }
    }

    /**
     * The end of a request, as far as its client is concerned; {@code how} is null if that one has
     * left.
     */
    private void conclude(InFlightRequest o, Ending how) {
        o.concluded = true;
        if (how != null) {
            audit.answered(o.audit);
        }
        count(o, how);
        forgetIfDone(o);
    }

    /** The process is about to end: whatever has no final answer by now is lost. */
    public void checkNothingOwed() {
        open.values().stream()
                .filter(o -> !o.concluded)
                .forEach(
                        o ->
                                figures.violations()
                                        .report(
                                                Violation.OWED_AT_EXIT,
                                                transport.nanoTime(),
                                                "request " + o.request.id()));
    }

    /** What the run-time checks have found. */
    public Violations violations() {
        return figures.violations();
    }

    private void count(InFlightRequest o, Ending how) {
        if (how == null) {
            figures.abandoned();
        } else {
            figures.ended(o.className, how);
        }
    }

    private void forgetIfDone(InFlightRequest o) {
        if (o.concluded && !o.outstanding() && open.remove(o.request.id(), o)) {
            o.atDeadline.cancel(false);
            o.body.release();
            held(o, false);
        }
    }

    // ---- Attempts
    // ------------------------------------------------------------------------------------

    @Override
    public void sendAttempt(String id, String upstream, long timeout) {
        InFlightRequest o = open.get(id);
        if (!closed && o != null && o.maySend(now())) {
            attempts.start(o, upstream, timeout);
            return;
        }
        int number = o == null ? 0 : o.add(upstream, now()).number;
        if (o != null) {
            o.attempts.get(number).end(AttemptOutcome.NOT_SENT);
        }
        event(
                () ->
                        balancer.attemptEnded(
                                now(),
                                new AttemptResult(
                                        id,
                                        number,
                                        upstream,
                                        AttemptOutcome.NOT_SENT,
                                        0,
                                        o == null || o.concluded,
                                        null)));
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        InFlightRequest o = open.get(id);
        if (o != null && attempt >= 0 && attempt < o.attempts.size()) {
            attempts.giveUp(o, o.attempts.get(attempt), AttemptOutcome.CANCELLED);
        }
    }

    /** What follows from what attempts do. */
    private final class Followed implements AttemptRunner.Owner {
        @Override
        public boolean mayBegin(InFlightRequest o, UpstreamAttempt attempt) {
            if (!o.concluded && !o.client.isHere()) {
                gone(o.request.id());
            }
            return o.mayBegin(attempt, now());
        }

        /** A large answer begins; from here on it is its client's, and no deadline cuts it off. */
        @Override
        public ResponseStream opened(InFlightRequest o, UpstreamAttempt attempt, long length) {
            if (o.concluded || o.streaming) {
                return null;
            }
            o.streaming = true;
            o.atDeadline.cancel(false);
            attempt.stream();
            event(() -> balancer.responseStarted(now(), o.request.id(), attempt.number));
            attempts.giveUpAll(o, t -> t != attempt, AttemptOutcome.CANCELLED);
            o.client.serving(length);
            return o.client;
        }

        @Override
        public void ended(
                InFlightRequest o, UpstreamAttempt attempt, AttemptOutcome outcome, Answer answer) {
            if (attempt.streams() && !o.concluded) {
                conclude(o, outcome == AttemptOutcome.SUCCESS ? Ending.PASSED : Ending.BAD_GATEWAY);
            } else if (outcome == AttemptOutcome.SUCCESS && !o.concluded) {
                conclude(o, Ending.PASSED);
                o.client.served(answer.body());
            }
            LoadReport load = answer == null ? null : load(answer.load());
            forgetIfDone(o);
            long took = attempt.took(now());
            event(
                    () ->
                            balancer.attemptEnded(
                                    now(),
                                    new AttemptResult(
                                            o.request.id(),
                                            attempt.number,
                                            attempt.upstream,
                                            outcome,
                                            took,
                                            o.concluded,
                                            load)));
        }
    }

    // ---- Final answers
    // -------------------------------------------------------------------------------

    @Override
    public void reject(String id, long retryAfter) {
        InFlightRequest o = open.get(id);
        if (o != null && !o.concluded && !o.streaming) {
            conclude(o, Ending.DROPPED);
            o.client.refused(retryAfter);
        }
    }

    @Override
    public void fail(String id) {
        InFlightRequest o = open.get(id);
        if (o != null && !o.concluded && !o.streaming) {
            conclude(o, Ending.BAD_GATEWAY);
            o.client.failed();
        }
    }

    // ---- Probes, timers and the rest
    // -----------------------------------------------------------------

    @Override
    public void probeEndpoint(String upstream) {
        ScheduledFuture<?>[] timeout = new ScheduledFuture<?>[1];
        UpstreamTransport.Attempt probe =
                upstreams.start(
                        upstream,
                        RequestHead.load(host),
                        RequestBody.empty(),
                        (outcome, answer) -> {
                            timeout[0].cancel(false);
                            LoadReport load =
                                    outcome != AttemptOutcome.SUCCESS
                                            ? null
                                            : load(
                                                    answer.body()
                                                            .toString(StandardCharsets.US_ASCII));
                            event(() -> balancer.probeCompleted(now(), upstream, outcome, load));
                        });
        timeout[0] =
                loop.schedule(
                        () -> {
                            probe.abandon();
                            event(
                                    () ->
                                            balancer.probeCompleted(
                                                    now(), upstream, AttemptOutcome.TIMEOUT, null));
                        },
                        PROBE_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    private LoadReport load(String text) {
        return facts.settings().loadReportSource() == LoadReportSource.NONE
                ? null
                : reports.read(text);
    }

    @Override
    public void scheduleTimer(String token, long delay) {
        long due = lateness.set(TimeUnit.MICROSECONDS.toNanos(delay));
        loop.schedule(
                () -> {
                    lateness.ran(due);
                    event(() -> balancer.timerExpired(now(), token));
                },
                delay,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdleConnections(String upstream) {
        upstreams.closeIdle(upstream);
    }

    @Override
    public void watchEndpointList(boolean on) {
        discovery.watch(on);
    }

    @Override
    public void fetchEndpointList() {
        discovery.fetch();
    }

    /** The deployment has no way between balancers, and a module told so has nothing to tell. */
    @Override
    public void sendToPeer(int peer, byte[] body) {}

    @Override
    public void log(String text) {
        LOG.log(System.Logger.Level.INFO, text);
    }
}
