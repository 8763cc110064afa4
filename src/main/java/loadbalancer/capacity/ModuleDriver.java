package loadbalancer.capacity;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancer.AttemptEnd;
import loadbalancer.LoadBalancer.ListKind;
import loadbalancer.LoadBalancer.LoadReport;
import loadbalancer.LoadBalancer.Outcome;
import loadbalancer.LoadBalancer.Request;
import loadbalancer.ReweightingLoadBalancer;

/**
 * Drives one decision module in virtual time: keeps its clock, its timers and the attempts under
 * way.
 */
final class ModuleDriver implements IdleActions {
    /** Requests with keys name one of so many. */
    private static final int KEYS = 64;

    private static final long SEED = 7;
    private static final LoadReport REPORT =
            new LoadReport(0.5, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    private record Timer(long at, long order, String token) {}

    private record Attempt(String request, int number, String upstream, long sentAt) {}

    private final ModuleSetup setup;
    private final LoadBalancer module;
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingLong(Timer::at).thenComparingLong(Timer::order));
    private final Deque<Attempt> underWay = new ArrayDeque<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Set<String> held = new HashSet<>();
    private final CallTimes timerTimes = new CallTimes();
    private long now = 100 * ModuleSetup.SECOND;
    private long timersSet;
    private long requests;
    private long unserved;

    /** A module with its list, started. */
    ModuleDriver(ModuleSetup setup) {
        this(setup, SEED);
    }

    /** The same with chance of its own. */
    ModuleDriver(ModuleSetup setup, long seed) {
        this.setup = setup;
        this.module = new ReweightingLoadBalancer(setup.settings(), seed, this);
        module.start(now);
        module.upstreams(now, ListKind.COMPLETE, setup.list());
    }

    LoadBalancer module() {
        return module;
    }

    long now() {
        return now;
    }

    /** How long the calls of timers took. */
    CallTimes timerTimes() {
        return timerTimes;
    }

    int held() {
        return held.size();
    }

    int underWay() {
        return underWay.size();
    }

    long requests() {
        return requests;
    }

    /** Requests that were refused or failed. */
    long unserved() {
        return unserved;
    }

    /** The next request, of each class in turn. */
    Request nextRequest() {
        long number = requests++;
        String key = setup.keys() ? "key-" + number % KEYS : null;
        int tenant = setup.tenants() == 0 ? -1 : (int) (number % setup.tenants());
        return new Request(
                "r" + number,
                (int) (number % 3),
                tenant,
                key,
                0,
                ModuleSetup.TIME_LEFT,
                false,
                false);
    }

    /** It arrives. */
    void arrive(Request request) {
        held.add(request.id());
        module.request(now, request);
    }

    /** The next end of an attempt: of the oldest, served; null if none is under way. */
    AttemptEnd nextEnd() {
        return nextEnd(0);
    }

    /** The same if it was sent so long ago. */
    AttemptEnd nextEnd(long age) {
        Attempt oldest = underWay.peek();
        if (oldest == null || now - oldest.sentAt < age) {
            return null;
        }
        underWay.remove();
        attempts.remove(oldest.request);
        return new AttemptEnd(
                oldest.request,
                oldest.number,
                oldest.upstream,
                Outcome.OK,
                now - oldest.sentAt,
                true,
                REPORT);
    }

    /** The module is told of it. */
    void end(AttemptEnd end) {
        module.outcome(now, end);
    }

    /** Time goes on, and timers that become due are called. */
    void advance(long micros) {
        long until = now + micros;
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at);
            timerTimes.measure(() -> module.timer(now, timer.token));
        }
        now = until;
    }

    @Override
    public void send(String request, String upstream, long timeout) {
        held.remove(request);
        int number = attempts.merge(request, 1, Integer::sum) - 1;
        underWay.add(new Attempt(request, number, upstream, now));
    }

    @Override
    public void refuse(String request, long retryAfter) {
        unserved++;
        held.remove(request);
    }

    @Override
    public void fail(String request) {
        unserved++;
        held.remove(request);
    }

    @Override
    public void timer(String token, long delay) {
        timers.add(new Timer(now + Math.max(delay, 1), timersSet++, token));
    }
}
