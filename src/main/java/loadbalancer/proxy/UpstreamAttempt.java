package loadbalancer.proxy;

import io.netty.util.concurrent.ScheduledFuture;
import loadbalancer.AttemptOutcome;

/**
 * One attempt: it waits for its connection, begins with its first byte, and ends once. Used on the
 * event loop only; times are the policy's.
 */
final class UpstreamAttempt {
    private enum State {
        /** No byte of it is out. */
        UNSENT,
        /** Its first byte is about to go out, if the guard allows it. */
        CHECKING,
        /** The guard has denied it; it is about to end. */
        DENIED,
        /** Its first byte is out. */
        BEGUN,
        /** Over. */
        ENDED
    }

    private final int index;
    private final String endpointId;
    private final long decidedAtMicros;

    /** The run-time check's view of it; null until its first byte goes out. */
    private AttemptAudit audit;

    private UpstreamTransport.Attempt transportAttempt;

    /** Null if only the deadline of the request ends it. */
    private ScheduledFuture<?> timeoutTimer;

    private boolean streaming;
    private State state = State.UNSENT;
    private AttemptOutcome outcome;
    private long writtenAtMicros;

    /** 0 until the head of its response has been read. */
    private long responseAtMicros;

    UpstreamAttempt(int index, String endpointId, long decidedAtMicros) {
        this.index = index;
        this.endpointId = endpointId;
        this.decidedAtMicros = decidedAtMicros;
        this.writtenAtMicros = decidedAtMicros;
    }

    /** Its place among the attempts of its request, from 0. */
    int index() {
        return index;
    }

    String endpointId() {
        return endpointId;
    }

    /** When the policy decided on it; the idempotency window counts from here. */
    long decidedAtMicros() {
        return decidedAtMicros;
    }

    /** It is under way; {@code timeout} ends it, null if only the request's deadline does. */
    void started(UpstreamTransport.Attempt attempt, ScheduledFuture<?> timeout) {
        transportAttempt = attempt;
        timeoutTimer = timeout;
    }

    /** Its first byte is about to go out. */
    void check() {
        state = State.CHECKING;
    }

    /** The result of that check: it begins now, or ends as never sent. */
    boolean begin(boolean allowed) {
        state = allowed ? State.BEGUN : State.DENIED;
        return allowed;
    }

    /** Sets the run-time check's view of it, as its first byte goes out. */
    void audit(AttemptAudit attemptAudit) {
        audit = attemptAudit;
    }

    /** Its last byte was written. */
    void written(long nowMicros) {
        state = state == State.UNSENT ? State.BEGUN : state;
        writtenAtMicros = nowMicros;
    }

    /** The head of its response was read. */
    void responseStarted(long nowMicros) {
        responseAtMicros = nowMicros;
    }

    /** Its response is streamed to the client, and no time-out ends it any more. */
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
     * Stops it, so that nothing more goes out; false if it is being checked, was denied or has
     * ended, and so ends by itself.
     */
    boolean abandon() {
        boolean isPossible = state == State.UNSENT || state == State.BEGUN;
        if (isPossible) {
            transportAttempt.abandon();
        }
        return isPossible;
    }

    /**
     * Ends it, and returns the outcome as the policy gets it: one that was cancelled before its
     * first byte was never sent, and says nothing of its endpoint.
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

    /** Whether its endpoint has seen some of it and may be working on it. */
    boolean isBegun() {
        return state == State.BEGUN;
    }

    /** Whether its endpoint may have executed it, or may yet. */
    boolean mayHaveRun() {
        return isBegun() || state == State.ENDED && !outcome.isProofOfNoExecution();
    }

    /** From its last byte to the head of its response, or to now if there was none. */
    long durationMicros(long nowMicros) {
        long end = responseAtMicros > 0 ? responseAtMicros : nowMicros;
        return Math.max(0, end - writtenAtMicros);
    }
}
