package loadbalancer.node;

import java.io.PrintStream;
import java.util.function.IntConsumer;

/**
 * The life of a serving process, from the first line of its start to its exit. It takes the signals
 * before anything else is done: unhandled, each of them ends the JVM at once, with whatever was
 * taken.
 */
final class Lifecycle {
    /**
     * {@link #begun} leads from the first to the second, {@link #terminate} from the first to the
     * last and from the second to the third, the node's end from the third to the last, {@link
     * #fails} to the last.
     */
    private enum State {
        STARTING,
        UP,
        STOPPING,
        STOPPED
    }

    private final PrintStream err;
    private final IntConsumer exit;
    private Runnable onReload = () -> {};
    private State state = State.STARTING;
    private Node node;

    /** In its first state, and told of nothing yet; {@code exit} ends the process with a code. */
    Lifecycle(PrintStream err, IntConsumer exit) {
        this.err = err;
        this.exit = exit;
    }

    /** From now on a signal is an event here and no end of the JVM. */
    void listenTo(Signals signals) throws ReflectiveOperationException {
        signals.on("INT", this::terminate); // ignored in the background of a shell, rightly
        if (!signals.on("TERM", this::terminate)) {
            err.println(
                    "SIGTERM is ignored by whoever started this process: it can't be told to stop");
        }
        if (!signals.on("HUP", this::reload)) {
            err.println(
                    "SIGHUP is ignored by whoever started this process, as by nohup: new"
                            + " configurations are not taken");
        }
    }

    /** What to do at a hang-up; before this there is nothing that could be read again. */
    synchronized void onReload(Runnable what) {
        onReload = what;
    }

    private void reload() {
        Runnable what;
        synchronized (this) {
            what = onReload;
        }
        what.run();
    }

    /** Whether to go on with the start. */
    synchronized boolean starts() {
        return state == State.STARTING;
    }

    /** There is a node, and from now on a stop is its own; false if the stop came first. */
    synchronized boolean begun(Node up) {
        if (state == State.STARTING) {
            state = State.UP;
            node = up;
        }
        return state == State.UP;
    }

    /** The node; null before {@link #begun}. */
    synchronized Node node() {
        return node;
    }

    /**
     * Why nobody should come here, an empty text if nothing stands against it; any thread may ask.
     */
    String whyNotReady() {
        Node up;
        synchronized (this) {
            switch (state) {
                case STARTING -> {
                    return "starting";
                }
                case UP -> up = node;
                default -> {
                    return "stopping";
                }
            }
        }
        return up.server().whyNotReady();
    }

    /** Says that clients are let in, unless the stop has begun meanwhile. */
    synchronized void serves(int rehearsed) {
        if (state == State.UP) {
            err.println("serving, with " + rehearsed + " requests rehearsed");
        }
    }

    /**
     * The start has failed: says why and returns the process's code, 0 if it was told to stop
     * meanwhile.
     */
    synchronized int fails(String why) {
        if (state == State.STOPPING || state == State.STOPPED) {
            return 0;
        }
        state = State.STOPPED;
        err.println("can't serve: " + why);
        return 1;
    }

    /**
     * Told to stop. A start has taken nothing yet and ends at once; a node ends once nothing is
     * left to be answered; asked again, it goes on with that.
     */
    private void terminate() {
        Node up;
        synchronized (this) {
            if (state == State.STOPPING || state == State.STOPPED) {
                return;
            }
            state = state == State.UP ? State.STOPPING : State.STOPPED;
            up = node;
        }
        err.println("stopping");
        if (up == null) {
            ends();
        } else {
            // On a thread of its own: the exit waits for others, and the loop is one of those.
            up.stop().addListener(f -> new Thread(this::ends).start());
        }
    }

    private void ends() {
        synchronized (this) {
            state = State.STOPPED;
        }
        err.println("stopped");
        exit.accept(0);
    }
}
