package loadbalancer.proxy;

import io.netty.util.concurrent.ScheduledFuture;
import loadbalancer.AttemptOutcome;

/**
 * State of one attempt, which waits for a connection, begins with its first byte, and ends exactly
 * once. Used on the event loop only; times are in microseconds of {@link PolicyClock}.
 */
final class UpstreamAttempt {
    private enum State {
        /** No byte has been sent. */
        UNSENT,
        /** {@link SendGuard} decides whether the first byte may be sent. */
        CHECKING,
        /** {@link SendGuard} has denied the attempt, and the transport is about to end it. */
        DENIED,
        /** The first byte has been sent. */
        BEGUN,
        /** The attempt has ended. */
        ENDED
    }

    private final int index;
    private final String endpointId;
    private final long decidedAtMicros;

    /** Null until the first byte is sent. */
    private AttemptAudit audit;

    private UpstreamTransport.Attempt transportAttempt;

    /** Null if only the deadline of the request limits the attempt. */
    private ScheduledFuture<?> timeoutTimer;

    private boolean streaming;
    private State state = State.UNSENT;
    private AttemptOutcome outcome;
    private long writtenAtMicros;

    /** Time at which the head of the response was read; 0 before. */
    private long responseAtMicros;

    UpstreamAttempt(int index, String endpointId, long decidedAtMicros) {
        this.index = index;
        this.endpointId = endpointId;
        this.decidedAtMicros = decidedAtMicros;
        this.writtenAtMicros = decidedAtMicros;
    }

    /** Returns the index among the attempts of the request, from 0. */
    int index() {
        return index;
    }

    String endpointId() {
        return endpointId;
    }

    /** Returns when the policy decided on the attempt; the idempotency window starts then. */
    long decidedAtMicros() {
        return decidedAtMicros;
    }

    /**
     * Records that the transport has started the attempt.
     *
     * @param timeout its timer; null if only the deadline of the request limits it
     */
    void started(UpstreamTransport.Attempt attempt, ScheduledFuture<?> timeout) {
        transportAttempt = attempt;
        timeoutTimer = timeout;
    }

    /** Records that the check before the first byte has started. */
    void check() {
        state = State.CHECKING;
    }

    /** Records and returns the result of the check; a denied attempt ends as not sent. */
    boolean begin(boolean allowed) {
        state = allowed ? State.BEGUN : State.DENIED;
        return allowed;
    }

    /** Sets the audit record. Called when the first byte is sent. */
    void audit(AttemptAudit attemptAudit) {
        audit = attemptAudit;
    }

    /** Records that the last byte was written. */
    void written(long nowMicros) {
        state = state == State.UNSENT ? State.BEGUN : state;
        writtenAtMicros = nowMicros;
    }

    /** Records that the head of the response was read. */
    void responseStarted(long nowMicros) {
        responseAtMicros = nowMicros;
    }

    /** Records that the response is streamed to the client, and cancels the time-out. */
    void startStreaming() {
        streaming = true;
        stopTimeout();
    }

    boolean isStreaming() {
        return streaming;
    }

    private void stopTimeout() {
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
        }
    }

    /**
     * Stops the transport, so that it sends nothing more.
     *
     * @return false, without effect, if the attempt is being checked, was denied or has ended, and
     *     so ends without this call
     */
    boolean abandon() {
        boolean isPossible = state == State.UNSENT || state == State.BEGUN;
        if (isPossible) {
            transportAttempt.abandon();
        }
        return isPossible;
    }

    /**
     * Ends the attempt, and returns the outcome to report to the policy. An attempt that was
     * denied, or cancelled before its first byte, counts as not sent, because its outcome does not
     * depend on the endpoint.
     */
    AttemptOutcome end(AttemptOutcome reported) {
        boolean neverSent =
                state == State.DENIED || reported == AttemptOutcome.CANCELLED && isUnsent();
        state = State.ENDED;
        outcome = neverSent ? AttemptOutcome.NOT_SENT : reported;
        stopTimeout();
        if (audit != null) {
            audit.ended(outcome);
        }
        return outcome;
    }

    boolean isUnsent() {
        return state == State.UNSENT || state == State.CHECKING || state == State.DENIED;
    }

    boolean isOutstanding() {
        return state != State.ENDED;
    }

    /** Returns whether the first byte has been sent and the attempt has not ended. */
    boolean isBegun() {
        return state == State.BEGUN;
    }

    /** Returns whether the endpoint may have executed the request, or may still do so. */
    boolean mayHaveBeenExecuted() {
        return isBegun() || state == State.ENDED && !outcome.provesNoExecution();
    }

    /** Returns the time from the last byte to the head of the response, or to now without one. */
    long durationMicros(long nowMicros) {
        long end = responseAtMicros > 0 ? responseAtMicros : nowMicros;
        return Math.max(0, end - writtenAtMicros);
    }
}
