package loadbalancer.node.supervisor;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Decides what to do with a balancer's processes: events and time in, actions out. One process
 * serves; beside it at most one more runs, a successor that starts or a predecessor that drains,
 * since the two share what one may use.
 *
 * <p>Not thread-safe; times are microseconds of the monotonic clock.
 */
final class ProcessSupervisor {
    /** Configuration, warm-up and the wait for the endpoint list take 20 s on a slow disk. */
    static final long READY_TIMEOUT_MICROS = 60_000_000;

    /** A process that was asked to shut down drains within 4 s. */
    static final long DRAIN_TIMEOUT_MICROS = 15_000_000;

    /** One that ends sooner after it began to serve has failed, and was not merely killed. */
    static final long STABLE_AFTER_MICROS = 120_000_000;

    /** A variant that failed so often in a row is given up if there is a fallback. */
    static final int MAX_FAILURES = 3;

    private enum State {
        STARTING,
        SERVING,
        DRAINING,
        KILLED
    }

    private static final class SupervisedProcess {
        final Variant variant;
        private State state = State.STARTING;
        private long sinceMicros;

        SupervisedProcess(Variant variant, long nowMicros) {
            this.variant = variant;
            this.sinceMicros = nowMicros;
        }

        void enter(State next, long nowMicros) {
            state = next;
            sinceMicros = nowMicros;
        }

        boolean isInFor(State expected, long durationMicros, long nowMicros) {
            return state == expected && nowMicros - sinceMicros >= durationMicros;
        }
    }

    private final RestartBackoff backoff;
    private final Map<Integer, SupervisedProcess> processes = new TreeMap<>();
    private final List<SupervisorAction> actions = new ArrayList<>();
    private Variant desired;

    /** Null if there is nothing to fall back to. */
    private Variant fallback;

    /** The variant that was last reported as serving; null before the first. */
    private Variant reported;

    private int lastNumber;

    /** Desires a variant; {@code fallback} replaces it if it fails, null for none. */
    ProcessSupervisor(Variant desired, Variant fallback, RandomGenerator random) {
        this.desired = desired;
        this.fallback = fallback;
        this.backoff = new RestartBackoff(random);
    }

    /** Takes over a process that an earlier supervisor started; returns its number. */
    int adopt(long nowMicros, Variant variant) {
        processes.put(++lastNumber, new SupervisedProcess(variant, nowMicros));
        return lastNumber;
    }

    /** Desires another variant from now on; {@code nextFallback} as in the constructor. */
    void setDesired(Variant next, Variant nextFallback) {
        fallback = nextFallback;
        if (!next.equals(desired)) {
            desired = next;
            backoff.reset(Long.MIN_VALUE);
        }
    }

    Variant desired() {
        return desired;
    }

    /** Whether the process's readiness is awaited. */
    boolean isStarting(int process) {
        SupervisedProcess starting = processes.get(process);
        return starting != null && starting.state == State.STARTING;
    }

    /** Whether any process serves. */
    boolean isServing() {
        return numberIn(State.SERVING) != null;
    }

    /** The process is ready and serves. */
    void onReady(long nowMicros, int process) {
        if (!isStarting(process)) {
            return;
        }
        SupervisedProcess ready = processes.get(process);
        Integer serving = numberIn(State.SERVING);
        if (serving != null && !ready.variant.equals(desired)) {
            terminate(nowMicros, process);
            return;
        }
        if (serving != null) {
            terminate(nowMicros, serving);
        }
        ready.enter(State.SERVING, nowMicros);
        reportServing(ready.variant);
    }

    /** The process has ended. */
    void onExited(long nowMicros, int process) {
        SupervisedProcess ended = processes.remove(process);
        if (ended == null) {
            return;
        }
        if (ended.state == State.STARTING) {
            onFailed(nowMicros, ended.variant, "ends before it is ready");
        } else if (ended.isInFor(State.SERVING, STABLE_AFTER_MICROS, nowMicros)) {
            backoff.reset(nowMicros);
        } else if (ended.state == State.SERVING) {
            onFailed(nowMicros, ended.variant, "ends soon after it began to serve");
        }
    }

    /** Checks timeouts; returns all that is to be done since the last call, in order. */
    List<SupervisorAction> tick(long nowMicros) {
        processes.keySet().forEach(process -> checkTimeouts(nowMicros, process));
        Integer starting = numberIn(State.STARTING);
        Integer serving = numberIn(State.SERVING);
        if (starting != null && serving != null && !isDesired(starting)) {
            terminate(nowMicros, starting);
            starting = null;
        }
        boolean desiredServes = serving != null && isDesired(serving);
        if (desiredServes) {
            reportServing(desired);
        } else if (starting == null && processes.size() < 2 && backoff.isDue(nowMicros)) {
            processes.put(++lastNumber, new SupervisedProcess(desired, nowMicros));
            actions.add(new SupervisorAction.Start(lastNumber, desired));
        }
        List<SupervisorAction> due = List.copyOf(actions);
        actions.clear();
        return due;
    }

    private void checkTimeouts(long nowMicros, int number) {
        SupervisedProcess process = processes.get(number);
        if (process.isInFor(State.DRAINING, DRAIN_TIMEOUT_MICROS, nowMicros)) {
            kill(nowMicros, number);
        } else if (process.isInFor(State.STARTING, READY_TIMEOUT_MICROS, nowMicros)) {
            kill(nowMicros, number);
            String timeout = READY_TIMEOUT_MICROS / 1_000_000 + " s";
            onFailed(nowMicros, process.variant, "is not ready after " + timeout);
        } else if (process.isInFor(State.SERVING, STABLE_AFTER_MICROS, nowMicros)
                && process.variant.equals(desired)) {
            backoff.clearFailures();
        }
    }

    private boolean isDesired(int process) {
        return processes.get(process).variant.equals(desired);
    }

    /** Null if no process is in that state. */
    private Integer numberIn(State state) {
        for (Map.Entry<Integer, SupervisedProcess> entry : processes.entrySet()) {
            if (entry.getValue().state == state) {
                return entry.getKey();
            }
        }
        return null;
    }

    private void reportServing(Variant variant) {
        if (!variant.equals(reported)) {
            reported = variant;
            actions.add(new SupervisorAction.Serving(variant));
        }
    }

    private void terminate(long nowMicros, int process) {
        processes.get(process).enter(State.DRAINING, nowMicros);
        actions.add(new SupervisorAction.Terminate(process));
    }

    private void kill(long nowMicros, int process) {
        processes.get(process).enter(State.KILLED, nowMicros);
        actions.add(new SupervisorAction.Kill(process));
    }

    private void onFailed(long nowMicros, Variant variant, String reason) {
        if (!variant.equals(desired)) {
            return; // the desired variant is starting already, or starts next
        }
        backoff.onFailure(nowMicros);
        boolean hasFallback = fallback != null && !fallback.equals(desired);
        if (backoff.failures() >= MAX_FAILURES && hasFallback) {
            desired = fallback;
            fallback = null;
            backoff.reset(nowMicros);
            actions.add(new SupervisorAction.Failed(variant, variant + " " + reason));
        }
    }
}
