package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Runs the timers of requests: the deadline, which counts from the last byte of a request, and the
 * stall time-out for a body that makes no progress. Used on the event loop only.
 */
final class RequestTimers {
    /** Maximum time for a body to arrive. The reader of the body enforces a minimum rate. */
    static final long MAX_BODY_MICROS = TimeUnit.MINUTES.toMicros(10);

    /** Maximum time for which a body may be blocked while its client has more to send. */
    private static final long STALL_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(10);

    /** How much faster than its beginning the rest of a body may be written. */
    private static final int UPLOAD_SPEED_UP = 4;

    private final EventLoop loop;
    private final PolicyClock clock;
    private final BiConsumer<InFlightRequest, RequestLog.Expiry> onExpired;

    /**
     * Creates the timers.
     *
     * @param onExpired runs when the deadline or the stall time-out of a request expires
     */
    RequestTimers(
            EventLoop loop,
            PolicyClock clock,
            BiConsumer<InFlightRequest, RequestLog.Expiry> onExpired) {
        this.loop = loop;
        this.clock = clock;
        this.onExpired = onExpired;
    }

    /** Starts the deadline of a request, replacing an earlier one. */
    void startDeadline(InFlightRequest request, long timeLeftMicros) {
        request.setDeadline(
                clock.nowMicros() + timeLeftMicros,
                loop.schedule(
                        () -> onExpired.accept(request, RequestLog.Expiry.DEADLINE),
                        timeLeftMicros,
                        TimeUnit.MICROSECONDS));
    }

    /** Starts the deadline of a request whose last byte was read. */
    void bodyReceived(InFlightRequest request) {
        startDeadline(request, request.minTimeLeftMicros());
    }

    /**
     * Starts the stall time-out of a body that becomes blocked, because no endpoint receives it yet
     * or its endpoint stopped reading; cancels it when the body flows again. The client of a
     * blocked body may have sent its last byte already, in which case its time runs out before that
     * byte is read. A client that writes slowly can't have sent it yet, and its time has not
     * started.
     */
    void bodyFlowChanged(InFlightRequest request, boolean isBlocked) {
        request.cancelStallTimer();
        if (isBlocked && !request.isConcluded() && !request.isStreaming()) {
            request.setStallTimer(
                    loop.schedule(
                            () -> onExpired.accept(request, RequestLog.Expiry.UPLOAD_BLOCKED),
                            stallTimeoutMicros(request),
                            TimeUnit.MICROSECONDS));
        }
    }

    private static long stallTimeoutMicros(InFlightRequest request) {
        UploadTiming timing = request.body().timing();
        long untilSentMicros =
                TimeUnit.NANOSECONDS.toMicros(timing.estimatedNanosToCompletion())
                        / UPLOAD_SPEED_UP;
        return Math.min(STALL_TIMEOUT_MICROS, untilSentMicros + request.minTimeLeftMicros());
    }
}
