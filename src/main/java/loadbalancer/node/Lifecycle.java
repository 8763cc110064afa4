package loadbalancer.node;

import java.io.PrintStream;
import java.util.function.IntConsumer;

/**
 * The life cycle of a serving process from its start to its exit. Signal handlers have to be
 * installed first: an unhandled signal ends the JVM at once and loses the requests in flight.
 * Thread-safe; the state is guarded by this object's monitor.
 */
final class Lifecycle {
    /**
     * States of the process. {@link #nodeCreated} leads from STARTING to RUNNING; {@link
     * #terminate} from STARTING to STOPPED and from RUNNING to STOPPING; the end of the node from
     * STOPPING to STOPPED; {@link #failStart} to STOPPED.
     */
    private enum State {
        STARTING,
        RUNNING,
        STOPPING,
        STOPPED
    }

    private final PrintStream errors;
    private final IntConsumer exit;
    private Runnable reloadAction = () -> {};
    private State state = State.STARTING;
    private Node node;

    /**
     * Creates the life cycle of a process that is starting; no signal is handled yet.
     *
     * @param errors receives messages for operators
     * @param exit ends the process with the given exit code
     */
    Lifecycle(PrintStream errors, IntConsumer exit) {
        this.errors = errors;
        this.exit = exit;
    }

    /**
     * Installs the handlers of SIGINT, SIGTERM and SIGHUP, and prints a line for each of the latter
     * two that can't be received.
     *
     * @throws ReflectiveOperationException if the JVM has no signal handling
     */
    void handleSignals(Signals signals) throws ReflectiveOperationException {
        signals.handle("INT", this::terminate); // a shell's background job ignores it, as it should
        if (!signals.handle("TERM", this::terminate)) {
            errors.println(
                    "SIGTERM is ignored, as set by the parent process: it can't stop this process");
        }
        if (!signals.handle("HUP", this::reload)) {
            errors.println(
                    "SIGHUP is ignored, as set by the parent process (nohup does so): it can't"
                            + " reload the configuration");
        }
    }

    /** Sets the action that SIGHUP runs on the signal's thread; without one it does nothing. */
    synchronized void setReloadAction(Runnable action) {
        reloadAction = action;
    }

    private void reload() {
        Runnable action;
        synchronized (this) {
            action = reloadAction;
        }
        action.run();
    }

    /** Returns whether the start may continue, as no stop was requested. */
    synchronized boolean isStarting() {
        return state == State.STARTING;
    }

    /** Sets the node that a stop has to shut down; false if a stop was requested before. */
    synchronized boolean nodeCreated(Node created) {
        if (state == State.STARTING) {
            state = State.RUNNING;
            node = created;
        }
        return state == State.RUNNING;
    }

    /** Returns the node; null before {@link #nodeCreated}. */
    synchronized Node node() {
        return node;
    }

    /** Returns why this process is not ready for clients; empty if it is. */
    String notReadyReason() {
        Node current;
        synchronized (this) {
            switch (state) {
                case STARTING -> {
                    return "starting";
                }
                case RUNNING -> current = node;
                default -> {
                    return "stopping";
                }
            }
        }
        return current.server().notReadyReason();
    }

    /** Prints that clients are accepted, unless a stop was requested meanwhile. */
    synchronized void reportServing(int warmupRequests) {
        if (state == State.RUNNING) {
            errors.println("serving, with " + warmupRequests + " warm-up requests done");
        }
    }

    /**
     * Ends a failed start: prints the reason and returns the exit code 1, or does nothing and
     * returns 0 if a stop was requested meanwhile.
     */
    synchronized int failStart(String reason) {
        if (state == State.STOPPING || state == State.STOPPED) {
            return 0;
        }
        state = State.STOPPED;
        errors.println("can't serve: " + reason);
        return 1;
    }

    /**
     * Stops the process. Without a node no client was accepted, and the process exits at once; a
     * node ends after all requests in flight. Further calls have no effect.
     */
    private void terminate() {
        Node current;
        synchronized (this) {
            if (state == State.STOPPING || state == State.STOPPED) {
                return;
            }
            state = state == State.RUNNING ? State.STOPPING : State.STOPPED;
            current = node;
        }
        errors.println("stopping");
        if (current == null) {
            exitStopped();
        } else {
            // On a separate thread, because the exit waits for other threads, including the event
            // loop.
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
