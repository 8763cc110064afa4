package loadbalancer.lab.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReport;
import loadbalancer.RequestDescriptor;
import loadbalancer.lab.baseline.BalancerUnderTest;
import loadbalancer.lab.baseline.TrueServerState;

/**
 * One balancer: hands events to its module when its process gets to run, and carries out what that
 * decides. What has come in waits for the next tick, for the end of a stall, or for the processor.
 */
final class Gateway implements LoadBalancerActions {
    /** What a balancer needs of the world around it. */
    interface Surroundings {
        void answered(Try t);

        void refused(Try t, long retryAfter);

        void failed(Try t);

        void unreachable(Try t);

        Server server(String id);
    }

    final int number;
    final int zone;
    private final EventQueue agenda;
    private final BalancerUnderTest contender;
    private final TrueServerState truth;
    private final Streams streams;
    private final Surroundings around;
    private final Network network;
    private final Registry registry;
    private final Registry.Subscriber subscriber;
    private final Tally tally;
    private final RuleOracle oracle;
    private final long tick;
    private final long eventCost;
    private final Map<String, Try> open = new HashMap<>();
    private final Map<String, Connections> connections = new HashMap<>();
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private LoadBalancerSettings settings;
    private LoadBalancer balancer;
    private boolean alive;
    private boolean silent;
    private boolean waking;
    private int epoch;
    private long blockedUntil;
    private final Stopwatch stopwatch;

    Gateway(
            int number,
            int zone,
            LoadBalancerSettings settings,
            SimulatedFleet fabric,
            long tick,
            long eventCost) {
        this.number = number;
        this.zone = zone;
        this.settings = settings;
        this.agenda = fabric.agenda();
        this.contender = fabric.contender();
        this.truth = fabric.truth();
        this.streams = fabric.streams();
        this.around = fabric.around();
        this.network = fabric.network();
        this.registry = fabric.registry();
        this.tally = fabric.tally();
        this.stopwatch = fabric.stopwatch();
        this.tick = tick;
        this.eventCost = eventCost;
        this.subscriber = registry.join(this);
        this.oracle = new RuleOracle(this, fabric);
    }

    Registry.Subscriber subscriber() {
        return subscriber;
    }

    LoadBalancerSettings settings() {
        return settings;
    }

    int epoch() {
        return epoch;
    }

    boolean alive() {
        return alive;
    }

    // ---- Life
    // ----------------------------------------------------------------------------------------

    void start() {
        alive = true;
        blockedUntil = 0;
        oracle.started();
        int mine = epoch;
        balancer =
                contender.create(
                        settings, streams.seedOf("module/" + number + "/" + epoch), this, truth);
        now(() -> balancer.start(agenda.now()));
        if (epoch == mine) {
            registry.started(subscriber);
        }
    }

    /** Killed: all that it knew and held is void. */
    void die(boolean silently) {
        if (!alive) {
            return;
        }
        alive = false;
        silent = silently;
        epoch++;
        inbox.clear();
        waking = false;
        registry.ended(subscriber);
        connections.values().forEach(Connections::closeAll);
        connections.clear();
        open.values().stream()
                .filter(t -> !t.ended)
                .sorted((a, b) -> a.id.compareTo(b.id))
                .forEach(
                        t -> {
                            t.ended = true;
                            if (!silently) {
                                around.unreachable(t);
                            }
                        });
        open.clear();
        oracle.died();
    }

    void change(LoadBalancerSettings next) {
        settings = next;
        deliver(() -> balancer.updateSettings(agenda.now(), next));
    }

    /** The process gets no processor until then. */
    void stall(long until) {
        blockedUntil = Math.max(blockedUntil, until);
    }

    /** Whether the process has just been without processor time. */
    boolean wasStalled() {
        return agenda.now() <= blockedUntil + settings.ruleLimits().finalResponseSlackMicros();
    }

    boolean knowsStartOf(Server server) {
        return oracle.knowsStart(server.id(), server.launchedAt());
    }

    // ---- Events in
    // -----------------------------------------------------------------------------------

    private void deliver(Runnable event) {
        if (!alive) {
            return;
        }
        if (tick == 0 && eventCost == 0 && inbox.isEmpty() && agenda.now() >= blockedUntil) {
            now(event);
            return;
        }
        inbox.add(event);
        wakeLater();
    }

    private void wakeLater() {
        if (waking) {
            return;
        }
        waking = true;
        long at = Math.max(agenda.now(), blockedUntil);
        if (tick > 0) {
            at = (at + tick - 1) / tick * tick;
        }
        int mine = epoch;
        agenda.at(
                at,
                () -> {
                    if (epoch == mine) {
                        waking = false;
                        work();
                    }
                });
    }

    private void work() {
        while (!inbox.isEmpty()) {
            if (agenda.now() < blockedUntil) {
                wakeLater();
                return;
            }
            Runnable event = inbox.poll();
            now(event);
            if (eventCost > 0) {
                blockedUntil = agenda.now() + eventCost;
            }
        }
    }

    private void now(Runnable event) {
        if (stopwatch == null) {
            event.run();
            return;
        }
        long begin = System.nanoTime();
        event.run();
        stopwatch.spent += System.nanoTime() - begin;
    }

    void listed(EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        deliver(
                () -> {
                    oracle.told(kind, entries);
                    balancer.updateEndpoints(agenda.now(), kind, entries);
                });
    }

    /** A client's try has reached this process. */
    void take(Try t, RequestDescriptor template) {
        if (!alive || t.epoch != epoch) {
            t.ended = true;
            if (alive || !silent) {
                around.unreachable(t);
            }
            return;
        }
        deliver(
                () -> {
                    if (t.closed && agenda.now() > t.deadline) {
                        t.ended = true; // it had gone before anybody looked at it
                        return;
                    }
                    t.taken = true;
                    open.put(t.id, t);
                    agenda.at(t.deadline, () -> deadline(t));
                    oracle.took(t);
                    balancer.requestReceived(
                            agenda.now(),
                            new RequestDescriptor(
                                    t.id,
                                    template.classIndex(),
                                    template.tenantIndex(),
                                    template.affinityKey(),
                                    template.expectedWorkMicros(),
                                    Math.max(1, t.deadline - agenda.now()),
                                    false,
                                    template.isRetry()));
                });
    }

    /** The client has left early. */
    void gone(Try t) {
        deliver(
                () -> {
                    if (t.ended || !t.taken) {
                        t.ended = true;
                        return;
                    }
                    t.ended = true;
                    balancer.clientDisconnected(agenda.now(), t.id);
                    tidy(t);
                });
    }

    private void deadline(Try t) {
        for (Attempt a : t.attempts) {
            end(a, AttemptOutcome.TIMEOUT, null);
        }
        if (!t.ended) {
            agenda.in(settings.ruleLimits().finalResponseSlackMicros() + 1, () -> overdue(t));
        }
    }

    private void overdue(Try t) {
        if (t.ended || t.epoch != epoch) {
            return;
        }
        if (inbox.isEmpty()) {
            oracle.broken("1", "no final answer in time: " + t.id);
        } else {
            tally.lateByStall++; // its process had no processor to answer with
        }
        gone(t);
    }

    /** An attempt has ended, seen from here. Only the first such word counts. */
    void end(Attempt a, AttemptOutcome outcome, LoadReport load) {
        Try t = a.of;
        if (t.epoch != epoch || a.done) {
            return;
        }
        a.done = true;
        if (outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.CANCELLED) {
            network.abandoned(a);
        }
        network.release(this, a, outcome);
        deliver(
                () -> {
                    boolean first = outcome == AttemptOutcome.SUCCESS && !t.ended;
                    if (first) {
                        t.ended = true;
                        tally.served++;
                        tally.useful += a.job.work;
                        around.answered(t);
                    } else if (outcome == AttemptOutcome.SUCCESS) {
                        tally.extraAnswers++;
                    }
                    oracle.ended(a, outcome);
                    balancer.attemptEnded(
                            agenda.now(),
                            new AttemptResult(
                                    t.id,
                                    a.number,
                                    a.upstream,
                                    outcome,
                                    agenda.now() - a.sentAt,
                                    t.ended,
                                    load));
                    tidy(t);
                });
    }

    Connections connectionsTo(Server server) {
        return connections.computeIfAbsent(
                server.machine.kind() + server.index, k -> new Connections());
    }

    // ---- Actions out
    // ---------------------------------------------------------------------------------

    @Override
    public void sendAttempt(String request, String upstream, long timeout) {
        Try t = open.get(request);
        Server server = around.server(upstream);
        if (t == null || server == null) {
            oracle.broken(
                    "1", "sent what was never taken, or to a server never listed: " + request);
            return;
        }
        Attempt a = new Attempt(t, t.attempts.size(), server, upstream, agenda.now());
        if (!oracle.sends(t, a)) {
            return;
        }
        t.attempts.add(a);
        if (a.number >= settings.limits().maxAttempts() || agenda.now() >= t.deadline) {
            agenda.in(0, () -> end(a, AttemptOutcome.NOT_SENT, null));
            return;
        }
        tally.attempts++;
        if (server.machine.zone() != zone) {
            tally.crossings++;
        }
        if (timeout != 0 && agenda.now() + timeout < t.deadline) {
            agenda.in(timeout, () -> end(a, AttemptOutcome.TIMEOUT, null));
        }
        network.send(this, a);
    }

    @Override
    public void reject(String request, long retryAfter) {
        Try t = open.get(request);
        if (t == null || !oracle.refuses(t)) {
            return;
        }
        t.ended = true;
        tally.refused++;
        around.refused(
                t,
                settings.limits().isRetryAfterAllowed()
                        ? Math.min(retryAfter, settings.limits().maxRetryAfterMicros())
                        : 0);
        tidy(t);
    }

    @Override
    public void fail(String request) {
        Try t = open.get(request);
        if (t == null || !oracle.fails(t)) {
            return;
        }
        t.ended = true;
        tally.failed++;
        around.failed(t);
        tidy(t);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        Try t = open.get(request);
        if (t != null && attempt < t.attempts.size()) {
            Attempt a = t.attempts.get(attempt);
            agenda.in(0, () -> end(a, AttemptOutcome.CANCELLED, null));
        }
    }

    @Override
    public void scheduleTimer(String token, long delay) {
        int mine = epoch;
        agenda.in(
                Math.max(1, delay),
                () -> {
                    if (epoch == mine) {
                        deliver(() -> balancer.timerExpired(agenda.now(), token));
                    }
                });
    }

    @Override
    public void probeEndpoint(String upstream) {
        // No scenario allows probes yet; the module is told so in its settings.
        int mine = epoch;
        agenda.in(
                0,
                () -> {
                    if (epoch == mine) {
                        deliver(
                                () ->
                                        balancer.probeCompleted(
                                                agenda.now(),
                                                upstream,
                                                AttemptOutcome.CONNECT_FAILED,
                                                null));
                    }
                });
    }

    @Override
    public void closeIdleConnections(String upstream) {
        Server server = around.server(upstream);
        if (server != null) {
            connectionsTo(server).closeIdle(server);
        }
    }

    @Override
    public void watchEndpointList(boolean on) {
        if (on) {
            registry.ask(subscriber, true);
        } else {
            registry.unsubscribe(subscriber);
        }
    }

    @Override
    public void fetchEndpointList() {
        registry.ask(subscriber, false);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {}

    @Override
    public void log(String text) {}

    /** Forgets a try once it and its last attempt have ended, so that a long run stays small. */
    private void tidy(Try t) {
        if (t.ended && t.attempts.stream().allMatch(a -> a.done)) {
            open.remove(t.id);
            oracle.forget(t);
        }
    }
}
