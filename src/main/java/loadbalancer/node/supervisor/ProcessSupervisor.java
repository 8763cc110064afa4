package loadbalancer.node.supervisor;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Decides what to do with a balancer's processes: receives events and the time, and returns
 * actions. One process serves. At most one more runs at the same time, a successor that is starting
 * or a predecessor that is draining, because the two share the resources meant for one process.
 *
 * <p>Not thread-safe. Times are microseconds of the monotonic clock.
 */
final class ProcessSupervisor {
    /**
     * Reading the configuration, the warm-up and the wait for the endpoint list take 20 s on a slow
     * disk.
     */
    static final long READY_TIMEOUT_MICROS = 60_000_000;

    /** A process drains within 4 s of the request to shut down. */
    static final long DRAIN_TIMEOUT_MICROS = 15_000_000;

    /**
     * A process that exits sooner after it began to serve has failed; a later exit is attributed to
     * an external kill.
     */
    static final long STABLE_AFTER_MICROS = 120_000_000;

    /**
     * After this many consecutive failures, the fallback replaces the desired variant if there is
     * one.
     */
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
        private long enteredMicros;

        SupervisedProcess(Variant variant, long nowMicros) {
            this.variant = variant;
            this.enteredMicros = nowMicros;
        }

        void enter(State next, long nowMicros) {
            state = next;
            enteredMicros = nowMicros;
        }

        boolean hasBeenIn(State expected, long durationMicros, long nowMicros) {
            return state == expected && nowMicros - enteredMicros >= durationMicros;
        }
    }

    private final RestartBackoff backoff;
    private final Map<Integer, SupervisedProcess> processes = new TreeMap<>();
    private final List<SupervisorAction> actions = new ArrayList<>();
    private Variant desired;

    /** Replaces the desired variant if that fails; null if there is no fallback. */
    private Variant fallback;

    /** The variant last reported as serving; null before the first report. */
    private Variant reported;

    private int lastNumber;

    /**
     * Creates a supervisor for the desired variant. {@code fallback} replaces it if it fails, and
     * is null if there is none.
     */
    ProcessSupervisor(Variant desired, Variant fallback, RandomGenerator random) {
        this.desired = desired;
        this.fallback = fallback;
        this.backoff = new RestartBackoff(random);
    }

    /**
     * Adopts a process that an earlier supervisor started, and returns the number assigned to it.
     */
    int adopt(long nowMicros, Variant variant) {
        processes.put(++lastNumber, new SupervisedProcess(variant, nowMicros));
        return lastNumber;
    }

    /**
     * Changes the desired variant; {@code nextFallback} is used like the fallback of the
     * constructor.
     */
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

    /** Returns whether the process is starting and not ready yet. */
    boolean isStarting(int process) {
        SupervisedProcess starting = processes.get(process);
        return starting != null && starting.state == State.STARTING;
    }

    /** Returns whether any process serves. */
    boolean isServing() {
        return numberIn(State.SERVING) != null;
    }

    /** Called when a process is ready to serve. */
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

    /** Called when a process has exited. */
    void onExited(long nowMicros, int process) {
        SupervisedProcess ended = processes.remove(process);
        if (ended == null) {
            return;
        }
        if (ended.state == State.STARTING) {
            onFailed(nowMicros, ended.variant, "exits before it is ready");
        } else if (ended.hasBeenIn(State.SERVING, STABLE_AFTER_MICROS, nowMicros)) {
            backoff.reset(nowMicros);
        } else if (ended.state == State.SERVING) {
            onFailed(nowMicros, ended.variant, "exits soon after it began to serve");
        }
    }

    /**
     * Checks timeouts, and returns the actions that have become due since the last call, in order.
     */
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
        if (process.hasBeenIn(State.DRAINING, DRAIN_TIMEOUT_MICROS, nowMicros)) {
            kill(nowMicros, number);
        } else if (process.hasBeenIn(State.STARTING, READY_TIMEOUT_MICROS, nowMicros)) {
            kill(nowMicros, number);
            String timeout = READY_TIMEOUT_MICROS / 1_000_000 + " s";
            onFailed(nowMicros, process.variant, "is not ready after " + timeout);
        } else if (process.hasBeenIn(State.SERVING, STABLE_AFTER_MICROS, nowMicros)
                && process.variant.equals(desired)) {
            backoff.clearFailures();
        }
    }

    private boolean isDesired(int process) {
        return processes.get(process).variant.equals(desired);
    }

    /** Returns the number of a process in the given state, or null if there is none. */
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
            return; // the desired variant is already starting or starts next
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
