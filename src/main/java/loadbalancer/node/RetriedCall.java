package loadbalancer.node;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import loadbalancer.transport.Transport;

/**
 * One kind of call to discovery: never two of it are out, and after a failure the next one waits.
 */
final class RetriedCall {
    /**
     * A call that lasted for less than the time between two of its lines proves nothing of
     * discovery.
     */
    private static final long STEADY_MS = 2_000;

    /** Where it stands. */
    enum State {
        /** Not wanted. */
        OFF,
        /** A call is out. */
        CALLING,
        /** The last one failed, and the next one is to come. */
        WAITING
    }

    private final Transport transport;
    private final Supplier<DiscoveryCall> dial;
    private final DiscoveryBackoff backOff = new DiscoveryBackoff();
    private State state = State.OFF;
    private DiscoveryCall call;
    private ScheduledFuture<?> next;

    RetriedCall(Transport transport, Supplier<DiscoveryCall> dial) {
        this.transport = transport;
        this.dial = dial;
    }

    boolean isOff() {
        return state == State.OFF;
    }

    /** Whether that is the one that is out. */
    boolean is(DiscoveryCall which) {
        return state == State.CALLING && call == which;
    }

    /** Calls now unless a call is out or to come. */
    void begin() {
        if (state == State.OFF) {
            call();
        }
    }

    /** Calls after a pause of at most so many milliseconds unless a call is out or to come. */
    void beginWithin(long millis) {
        if (state == State.OFF) {
            await(transport.random().nextLong(millis));
        }
    }

    /** Calls after the pause of a failure unless a call is out or to come. */
    void beginAfterPause() {
        if (state == State.OFF) {
            await(backOff.next(0, transport.random()));
        }
    }

    /** Ends the call that is out, and lets none follow. */
    void end() {
        if (call != null) {
            call.cancel();
        }
        if (next != null) {
            next.cancel(false);
        }
        call = null;
        next = null;
        state = State.OFF;
    }

    /** As {@link #end}, and what failed is forgotten. */
    void endAndForget() {
        end();
        backOff.reset();
    }

    /** The call that was out has failed: another one follows. */
    void failed() {
        long quiet = call.quietMs();
        if (call.openMs() >= STEADY_MS) {
            backOff.reset();
        }
        call = null;
        await(backOff.next(quiet, transport.random()));
    }

    private void await(long millis) {
        state = State.WAITING;
        next = transport.loop().schedule(this::call, millis, TimeUnit.MILLISECONDS);
    }

    private void call() {
        next = null;
        state = State.CALLING;
        call = dial.get();
    }
}
