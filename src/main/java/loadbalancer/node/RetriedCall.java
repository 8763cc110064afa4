package loadbalancer.node;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import loadbalancer.transport.Transport;

/**
 * Repeats one kind of call to discovery: at most one is in flight, and after a failure the next one
 * waits for a backoff. On the loop; delays are in milliseconds of its timers.
 */
final class RetriedCall {
    /**
     * A call that lasted for less than the time between two of its lines does not show that
     * discovery works, and does not reset the backoff.
     */
    private static final long STEADY_MILLIS = 2_000;

    /** Whether a call is in flight or scheduled. */
    enum State {
        /** Not wanted. */
        OFF,
        /** A call is in flight. */
        CALLING,
        /** The next one is scheduled. */
        WAITING
    }

    private final Transport transport;
    private final Supplier<DiscoveryCall> dial;
    private final DiscoveryBackoff backoff = new DiscoveryBackoff();
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

    /** Whether that call is the one in flight. */
    boolean is(DiscoveryCall other) {
        return state == State.CALLING && call == other;
    }

    /** Calls now unless a call is in flight or scheduled. */
    void begin() {
        if (state == State.OFF) {
            call();
        }
    }

    /** Calls after a random delay below the bound unless a call is in flight or scheduled. */
    void beginWithin(long maxDelayMillis) {
        if (state == State.OFF) {
            schedule(transport.random().nextLong(maxDelayMillis));
        }
    }

    /** Calls after the backoff of a failure unless a call is in flight or scheduled. */
    void beginAfterPause() {
        if (state == State.OFF) {
            schedule(backoff.next(0, transport.random()));
        }
    }

    /** Cancels the call, in flight or scheduled. */
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

    /** As {@link #end}, and resets the backoff. */
    void endAndForget() {
        end();
        backoff.reset();
    }

    /** The call in flight has failed: schedules the next one. */
    void failed() {
        long quietMillis = call.quietMs();
        if (call.openMs() >= STEADY_MILLIS) {
            backoff.reset();
        }
        call = null;
        schedule(backoff.next(quietMillis, transport.random()));
    }

    private void schedule(long delayMillis) {
        state = State.WAITING;
        next = transport.loop().schedule(this::call, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void call() {
        next = null;
        state = State.CALLING;
        call = dial.get();
    }
}
