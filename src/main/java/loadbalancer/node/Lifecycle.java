package loadbalancer.node;

import java.io.PrintStream;
import java.util.function.IntConsumer;

/**
 * Life cycle of a serving process, from the first line of its start to its exit. Signals are
 * handled before anything else is done: unhandled, each of them ends the JVM at once, with whatever
 * was accepted. Any thread may call it; the state is guarded by this object's monitor.
 */
final class Lifecycle {
    /**
     * {@link #nodeCreated} leads from the first to the second, {@link #terminate} from the first to
     * the last and from the second to the third, the node's end from the third to the last, {@link
     * #failStart} to the last.
     */
    private enum State {
        STARTING,
        UP,
        STOPPING,
        STOPPED
    }

    private final PrintStream errors;
    private final IntConsumer exit;
    private Runnable onReload = () -> {};
    private State state = State.STARTING;
    private Node node;

    /**
     * Starts in {@code STARTING}, with no signal handled yet.
     *
     * @param errors gets the lines for operators
     * @param exit ends the process with a code
     */
    Lifecycle(PrintStream errors, IntConsumer exit) {
        this.errors = errors;
        this.exit = exit;
    }

    /**
     * Handles SIGINT, SIGTERM and SIGHUP from now on.
     *
     * @throws ReflectiveOperationException if the JVM has no signal handling
     */
    void listenTo(Signals signals) throws ReflectiveOperationException {
        signals.on("INT", this::terminate); // ignored in the background of a shell, rightly
        if (!signals.on("TERM", this::terminate)) {
            errors.println(
                    "SIGTERM is ignored by whoever started this process: it can't be told to stop");
        }
        if (!signals.on("HUP", this::reload)) {
            errors.println(
                    "SIGHUP is ignored by whoever started this process, as by nohup: new"
                            + " configurations are not taken");
        }
    }

    /** Sets what SIGHUP runs, on the signal's thread; before this it does nothing. */
    synchronized void onReload(Runnable task) {
        onReload = task;
    }

    private void reload() {
        Runnable task;
        synchronized (this) {
            task = onReload;
        }
        task.run();
    }

    /** Whether the start may go on: no stop was requested. */
    synchronized boolean isStarting() {
        return state == State.STARTING;
    }

    /** From now on a stop goes through the node; false if the stop came first. */
    synchronized boolean nodeCreated(Node created) {
        if (state == State.STARTING) {
            state = State.UP;
            node = created;
        }
        return state == State.UP;
    }

    /** The node; null before {@link #nodeCreated}. */
    synchronized Node node() {
        return node;
    }

    /** Why this process is not ready for clients; empty if it is. */
    String whyNotReady() {
        Node current;
        synchronized (this) {
            switch (state) {
                case STARTING -> {
                    return "starting";
                }
                case UP -> current = node;
                default -> {
                    return "stopping";
                }
            }
        }
        return current.server().whyNotReady();
    }

    /** Prints that clients are accepted, unless the stop has begun meanwhile. */
    synchronized void reportServing(int warmupRequests) {
        if (state == State.UP) {
            errors.println("serving, with " + warmupRequests + " requests rehearsed");
        }
    }

    /**
     * Ends a failed start: prints why and returns the exit code, 0 if a stop was requested
     * meanwhile.
     */
    synchronized int failStart(String why) {
        if (state == State.STOPPING || state == State.STOPPED) {
            return 0;
        }
        state = State.STOPPED;
        errors.println("can't serve: " + why);
        return 1;
    }

    /**
     * Requests a stop. Before there is a node nothing was accepted, and the process exits at once;
     * a node stops once nothing is left in flight. Further requests change nothing.
     */
    private void terminate() {
        Node current;
        synchronized (this) {
            if (state == State.STOPPING || state == State.STOPPED) {
                return;
            }
            state = state == State.UP ? State.STOPPING : State.STOPPED;
            current = node;
        }
        errors.println("stopping");
        if (current == null) {
            exitStopped();
        } else {
            // On a thread of its own: the exit waits for other threads, and the loop is one of
            // them.
            current.stop().addListener(stopped -> new Thread(this::exitStopped).start());
        }
    }

    private void exitStopped() {
        synchronized (this) {
            state = State.STOPPED;
        }
        errors.println("stopped");
        exit.accept(0);
    }
}
