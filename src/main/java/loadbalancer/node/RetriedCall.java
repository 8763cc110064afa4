package loadbalancer.node;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import loadbalancer.transport.Transport;

/**
 * Repeats one kind of call to discovery: at most one call is in flight, and the next one after a
 * failure waits for a backoff. Used on the event loop.
 */
final class RetriedCall {
    /**
     * Time for which a call must have been open to reset the backoff: that between two lines of a
     * watch. A shorter call does not show that discovery works.
     */
    private static final long STEADY_MILLIS = 2_000;

    /** States of the repetition. */
    enum State {
        /** No call is in flight or scheduled. */
        OFF,
        /** A call is in flight. */
        CALLING,
        /** The next call is scheduled. */
        WAITING
    }

    private final Transport transport;
    private final Supplier<DiscoveryCall> startCall;
    private final DiscoveryBackoff backoff = new DiscoveryBackoff();
    private State state = State.OFF;
    private DiscoveryCall call;
    private ScheduledFuture<?> next;

    RetriedCall(Transport transport, Supplier<DiscoveryCall> startCall) {
        this.transport = transport;
        this.startCall = startCall;
    }

    boolean isOff() {
        return state == State.OFF;
    }

    /** Returns whether that call is the one in flight. */
    boolean isCurrent(DiscoveryCall other) {
        return state == State.CALLING && call == other;
    }

    /** Starts a call unless one is in flight or scheduled. */
    void begin() {
        if (state == State.OFF) {
            call();
        }
    }

    /**
     * Schedules a call after a random delay below the bound unless one is in flight or scheduled.
     */
    void beginWithin(long maxDelayMillis) {
        if (state == State.OFF) {
            schedule(transport.random().nextLong(maxDelayMillis));
        }
    }

    /** Schedules a call after the backoff unless one is in flight or scheduled. */
    void beginAfterBackoff() {
        if (state == State.OFF) {
            schedule(backoff.nextMillis(0, transport.random()));
        }
    }

    /** Cancels the call that is in flight or scheduled. */
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

    /** Cancels like {@link #end}, and resets the backoff. */
    void endAndResetBackoff() {
        end();
        backoff.reset();
    }

    /** Schedules the next call after the one in flight has failed. */
    void retry() {
        long quietMillis = call.quietMillis();
        if (call.openMillis() >= STEADY_MILLIS) {
            backoff.reset();
        }
        call = null;
        schedule(backoff.nextMillis(quietMillis, transport.random()));
    }

    private void schedule(long delayMillis) {
        state = State.WAITING;
        next = transport.loop().schedule(this::call, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void call() {
        next = null;
        state = State.CALLING;
        call = startCall.get();
    }
}
