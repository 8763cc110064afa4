package loadbalancer.proxy;

import io.netty.util.concurrent.ScheduledFuture;
import loadbalancer.AttemptOutcome;

/**
 * One attempt: it waits for its connection, begins with its first byte, and ends once. Times are
 * the module's, in microseconds.
 */
final class UpstreamAttempt {
    private enum State {
        UNSENT,
        ASKING,
        DENIED,
        BEGUN,
        ENDED
    }

    /** Its place among those of its request. */
    final int number;

    final String upstream;

    /**
     * When the module decided on it: what a class remembers is counted from here, before the bytes
     * went.
     */
    final long sentAt;

    /** Of the run-time check; null until its first byte goes out. */
    AttemptAudit audit;

    private UpstreamTransport.Attempt attempt;
    private ScheduledFuture<?> timeout;
    private boolean streams;
    private State state = State.UNSENT;
    private AttemptOutcome outcome;

    /** When it was written, and when its answer began: the time of a body is not the upstream's. */
    private long writtenAt;

    private long openedAt;

    UpstreamAttempt(int number, String upstream, long sentAt) {
        this.number = number;
        this.upstream = upstream;
        this.sentAt = sentAt;
        this.writtenAt = sentAt;
    }

    /** It is under way; {@code atTimeout} ends it, null if only the request's own deadline does. */
    void started(UpstreamTransport.Attempt under, ScheduledFuture<?> atTimeout) {
        attempt = under;
        timeout = atTimeout;
    }

    /** Its first byte is about to go out. */
    void ask() {
        state = State.ASKING;
    }

    /** What has been asked: it goes out now if {@code allowed}; else it will end as never sent. */
    boolean begin(boolean allowed) {
        state = allowed ? State.BEGUN : State.DENIED;
        return allowed;
    }

    void written(long now) {
        state = state == State.UNSENT ? State.BEGUN : state;
        writtenAt = now;
    }

    void opened(long now) {
        openedAt = now;
    }

    /** Its answer is passed on as it comes, and belongs to the client. */
    void stream() {
        streams = true;
        stopTimeout();
    }

    boolean streams() {
        return streams;
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    /**
     * Nothing more goes out of it. One that asks, or was denied, is about to hear or to end by
     * itself.
     */
    boolean giveUp() {
        boolean can = state == State.UNSENT || state == State.BEGUN;
        if (can) {
            attempt.abandon();
        }
        return can;
    }

    /**
     * Over. Gives the outcome as the module is to have it: of one that we called off before its
     * first byte nothing is known of the upstream, and it never ran.
     */
    AttemptOutcome end(AttemptOutcome how) {
        boolean calledOff = state == State.DENIED || how == AttemptOutcome.CANCELLED && isUnsent();
        state = State.ENDED;
        outcome = calledOff ? AttemptOutcome.NOT_SENT : how;
        stopTimeout();
        if (audit != null) {
            audit.ended(outcome);
        }
        return outcome;
    }

    boolean isUnsent() {
        return state == State.UNSENT || state == State.ASKING || state == State.DENIED;
    }

    boolean isOut() {
        return state != State.ENDED;
    }

    /** Whether its upstream has seen anything of it and may still be at it. */
    boolean isBegun() {
        return state == State.BEGUN;
    }

    /** Whether the upstream may have run it, or may yet. */
    boolean mayHaveRun() {
        return isBegun() || state == State.ENDED && !outcome.isProofOfNoExecution();
    }

    /** From when it was written to when its answer began, or to its end if none did. */
    long took(long now) {
        return Math.max(0, (openedAt > 0 ? openedAt : now) - writtenAt);
    }
}
