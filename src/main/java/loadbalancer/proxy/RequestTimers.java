package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The timers of requests: the deadline, counted from the last byte of a request, and the stall
 * time-out of a body that makes no progress. Used on the event loop only.
 */
final class RequestTimers {
    /** Time for a body to arrive; how fast it has to is decided by the side that reads it. */
    static final long MAX_BODY_MICROS = TimeUnit.MINUTES.toMicros(10);

    /** How much of a body may be under way between a client that has sent all of it and here. */
    private static final long MAX_UNDER_WAY_BYTES = 256 * 1024;

    /** How long a body of which more is to be sent may be blocked. */
    private static final long STALL_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(10);

    private final EventLoop loop;
    private final PolicyClock clock;
    private final Consumer<InFlightRequest> onExpired;

    /** {@code onExpired} runs when either time is over. */
    RequestTimers(EventLoop loop, PolicyClock clock, Consumer<InFlightRequest> onExpired) {
        this.loop = loop;
        this.clock = clock;
        this.onExpired = onExpired;
    }

    /** Starts, or starts anew, the deadline of a request. */
    void startDeadline(InFlightRequest request, long timeLeftMicros) {
        request.setDeadline(
                clock.nowMicros() + timeLeftMicros,
                loop.schedule(
                        () -> onExpired.accept(request), timeLeftMicros, TimeUnit.MICROSECONDS));
    }

    /**
     * The body is blocked, because no endpoint has it yet or the one that has it takes nothing, or
     * it flows again. The client may have sent its last byte all the same, and then its time runs
     * out unseen; a client that writes slowly can't have, and its time has not begun.
     */
    void bodyFlowChanged(InFlightRequest request, boolean isBlocked) {
        request.cancelStallTimer();
        if (isBlocked && !request.isConcluded() && !request.isStreaming()) {
            request.setStallTimer(
                    loop.schedule(
                            () -> onExpired.accept(request),
                            stallTimeoutMicros(request),
                            TimeUnit.MICROSECONDS));
        }
    }

    private static long stallTimeoutMicros(InFlightRequest request) {
        RequestBody body = request.body();
        boolean mayBeSentWhole =
                body.length() < 0 || body.length() - body.receivedBytes() <= MAX_UNDER_WAY_BYTES;
        if (!mayBeSentWhole) {
            return STALL_TIMEOUT_MICROS;
        }
        return Math.min(
                STALL_TIMEOUT_MICROS,
                body.estimatedMicrosToCompletion() + request.descriptor().timeLeftMicros());
    }
}
