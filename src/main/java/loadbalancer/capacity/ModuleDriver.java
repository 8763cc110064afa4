package loadbalancer.capacity;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadReport;
import loadbalancer.RequestDescriptor;
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
        module.updateEndpoints(now, EndpointListUpdateType.FULL, setup.list());
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
    RequestDescriptor nextRequest() {
        long number = requests++;
        String key = setup.keys() ? "key-" + number % KEYS : null;
        int tenant = setup.tenants() == 0 ? -1 : (int) (number % setup.tenants());
        return new RequestDescriptor(
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
    void arrive(RequestDescriptor request) {
        held.add(request.id());
        module.requestReceived(now, request);
    }

    /** The next end of an attempt: of the oldest, served; null if none is under way. */
    AttemptResult nextEnd() {
        return nextEnd(0);
    }

    /** The same if it was sent so long ago. */
    AttemptResult nextEnd(long age) {
        Attempt oldest = underWay.peek();
        if (oldest == null || now - oldest.sentAt < age) {
            return null;
        }
        underWay.remove();
        attempts.remove(oldest.request);
        return new AttemptResult(
                oldest.request,
                oldest.number,
                oldest.upstream,
                AttemptOutcome.SUCCESS,
                now - oldest.sentAt,
                true,
                REPORT);
    }

    /** The module is told of it. */
    void end(AttemptResult end) {
        module.attemptEnded(now, end);
    }

    /** Time goes on, and timers that become due are called. */
    void advance(long micros) {
        long until = now + micros;
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at);
            timerTimes.measure(() -> module.timerExpired(now, timer.token));
        }
        now = until;
    }

    @Override
    public void sendAttempt(String request, String upstream, long timeout) {
        held.remove(request);
        int number = attempts.merge(request, 1, Integer::sum) - 1;
        underWay.add(new Attempt(request, number, upstream, now));
    }

    @Override
    public void reject(String request, long retryAfter) {
        unserved++;
        held.remove(request);
    }

    @Override
    public void fail(String request) {
        unserved++;
        held.remove(request);
    }

    @Override
    public void scheduleTimer(String token, long delay) {
        timers.add(new Timer(now + Math.max(delay, 1), timersSet++, token));
    }
}
