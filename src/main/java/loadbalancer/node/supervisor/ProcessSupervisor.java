package loadbalancer.node.supervisor;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * What to do with a balancer's processes: events and time in, orders out. One process serves;
 * beside it at most one more lives, a successor that starts or a predecessor that leaves, since two
 * share what is given to one. Times are microseconds.
 */
final class ProcessSupervisor {
    /**
     * Reading the configuration, rehearsal and the wait for the list take 10 s at most; a slow disk
     * as much.
     */
    static final long READY_US = 60_000_000;

    /** A process that was told to stop answers what it has within 4 s. */
    static final long STOP_US = 15_000_000;

    /** One that dies sooner than that has failed, and has not merely been killed. */
    static final long SETTLED_US = 120_000_000;

    /** The first wait before another try; each one doubles it, up to the longest. */
    static final long FIRST_WAIT_US = 500_000;

    static final long LONGEST_WAIT_US = 30_000_000;

    /** A change that failed so often in a row is given up. */
    static final int TRIES = 3;

    /** What the runner has to do. */
    sealed interface Order {
        /** Start a process under that number. */
        record Start(int process, Variant variant) implements Order {}

        /** Ask it to end. */
        record Terminate(int process) implements Order {}

        /** End it. */
        record Kill(int process) implements Order {}

        /** That is what serves from now on. */
        record Became(Variant variant) implements Order {}

        /**
         * That could not be brought to serve, or not for long; what was before it is wanted again.
         */
        record Failed(Variant variant, String reason) implements Order {}
    }

    private enum State {
        STARTING,
        SERVING,
        LEAVING,
        KILLED
    }

    private static final class Proc {
        final Variant variant;
        State state;
        long since;

        Proc(Variant variant, State state, long since) {
            this.variant = variant;
            this.state = state;
            this.since = since;
        }
    }

    private final RandomGenerator random;
    private final Map<Integer, Proc> procs = new TreeMap<>();
    private final List<Order> orders = new ArrayList<>();
    private Variant wanted;
    private Variant before;
    private Variant became;
    private int failures;
    private long retryAt = Long.MIN_VALUE;
    private int last;

    /** Wants that variant; {@code before} is what to go back to if it fails, null for nothing. */
    ProcessSupervisor(Variant wanted, Variant before, RandomGenerator random) {
        this.wanted = wanted;
        this.before = before;
        this.random = random;
    }

    /** A process of an earlier parent; what it is at shows when it is asked. Returns its number. */
    int found(long now, Variant variant) {
        procs.put(++last, new Proc(variant, State.STARTING, now));
        return last;
    }

    /**
     * Wants something else from now on, and {@code otherwise} if that fails; null for nothing else.
     */
    void want(Variant next, Variant otherwise) {
        before = otherwise;
        if (!next.equals(wanted)) {
            wanted = next;
            failures = 0;
            retryAt = Long.MIN_VALUE;
        }
    }

    Variant wanted() {
        return wanted;
    }

    /** Whether a process is asked whether it is ready. */
    boolean awaits(int process) {
        Proc proc = procs.get(process);
        return proc != null && proc.state == State.STARTING;
    }

    /** Whether any process serves. */
    boolean serves() {
        return in(State.SERVING) != null;
    }

    /** The process serves. */
    void ready(long now, int process) {
        Proc proc = procs.get(process);
        if (proc == null || proc.state != State.STARTING) {
            return;
        }
        Integer serving = in(State.SERVING);
        if (serving != null && !proc.variant.equals(wanted)) {
            leave(now, process); // not what is wanted, and service has what it needs
            return;
        }
        if (serving != null) {
            leave(now, serving);
        }
        proc.state = State.SERVING;
        proc.since = now;
        if (!proc.variant.equals(became)) {
            became = proc.variant;
            orders.add(new Order.Became(became));
        }
    }

    /** The process has ended. */
    void exited(long now, int process) {
        Proc proc = procs.remove(process);
        if (proc == null) {
            return;
        }
        if (proc.state == State.STARTING) {
            failed(now, proc.variant, "ends before it is ready");
        } else if (proc.state == State.SERVING) {
            if (now - proc.since < SETTLED_US) {
                failed(now, proc.variant, "ends soon after it began to serve");
            } else {
                failures = 0;
                retryAt = now;
            }
        }
    }

    /** Looks at the time; returns all that is to be done since the last call, in order. */
    List<Order> tick(long now) {
        procs.forEach(
                (number, proc) -> {
                    if (proc.state == State.LEAVING && now - proc.since >= STOP_US) {
                        kill(now, number);
                    } else if (proc.state == State.STARTING && now - proc.since >= READY_US) {
                        kill(now, number);
                        failed(
                                now,
                                proc.variant,
                                "is not ready after " + READY_US / 1_000_000 + " s");
                    } else if (proc.state == State.SERVING
                            && now - proc.since >= SETTLED_US
                            && proc.variant.equals(wanted)) {
                        failures = 0;
                    }
                });
        Integer starting = in(State.STARTING);
        Integer serving = in(State.SERVING);
        if (starting != null && serving != null && !procs.get(starting).variant.equals(wanted)) {
            leave(now, starting);
            starting = null;
        }
        boolean right = serving != null && procs.get(serving).variant.equals(wanted);
        if (right && !wanted.equals(became)) {
            became = wanted;
            orders.add(new Order.Became(wanted));
        }
        if (!right && starting == null && procs.size() < 2 && now >= retryAt) {
            procs.put(++last, new Proc(wanted, State.STARTING, now));
            orders.add(new Order.Start(last, wanted));
        }
        List<Order> due = List.copyOf(orders);
        orders.clear();
        return due;
    }

    private Integer in(State state) {
        return procs.entrySet().stream()
                .filter(e -> e.getValue().state == state)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    private void leave(long now, int process) {
        Proc proc = procs.get(process);
        proc.state = State.LEAVING;
        proc.since = now;
        orders.add(new Order.Terminate(process));
    }

    private void kill(long now, int process) {
        Proc proc = procs.get(process);
        proc.state = State.KILLED;
        proc.since = now;
        orders.add(new Order.Kill(process));
    }

    private void failed(long now, Variant variant, String reason) {
        if (!variant.equals(wanted)) {
            return; // what is wanted is on its way already, or starts next
        }
        failures++;
        long wait = Math.min(LONGEST_WAIT_US, FIRST_WAIT_US << Math.min(failures - 1, 10));
        // A fleet whose balancers all fail at once must not start all of them again at once.
        retryAt = now + wait / 2 + random.nextLong(wait / 2 + 1);
        if (failures >= TRIES && before != null && !before.equals(wanted)) {
            wanted = before;
            before = null;
            failures = 0;
            retryAt = now;
            orders.add(new Order.Failed(variant, variant + " " + reason));
        }
    }
}
