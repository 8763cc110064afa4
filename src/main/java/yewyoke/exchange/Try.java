package yewyoke.exchange;

import io.netty.util.concurrent.ScheduledFuture;
import yewyoke.Balancer.Outcome;

/**
 * One attempt: it waits for its connection, begins with its first byte, and ends once. Times are the module's,
 * in microseconds.
 */
final class Try {
    private enum State { UNSENT, BEGUN, ENDED }

    final String upstream;
    /** When the module decided on it: what a class remembers is counted from here, before the bytes went. */
    final long sentAt;
    /** Null if it never started. */
    Back.Attempt attempt;
    ScheduledFuture<?> timeout;
    /** Its answer is passed on as it comes and belongs to the client. */
    boolean streams;
    private State state = State.UNSENT;
    private Outcome outcome;
    private boolean denied;
    /** When it was written, and when its answer began: the time of a body is not the upstream's. */
    private long writtenAt;
    private long openedAt;

    Try(String upstream, long sentAt) {
        this.upstream = upstream;
        this.sentAt = sentAt;
        this.writtenAt = sentAt;
    }

    /** Its first byte goes out now if {@code allowed}; else it ends as never sent. */
    boolean begin(boolean allowed) {
        denied = !allowed;
        if (allowed && state == State.UNSENT) {
            state = State.BEGUN;
        }
        return allowed;
    }

    void written(long now) {
        begin(true);
        writtenAt = now;
    }

    void opened(long now) {
        openedAt = now;
    }

    /**
     * Over. Gives the outcome as the module is to have it: of one that we called off before its first byte
     * nothing is known of the upstream, and it never ran.
     */
    Outcome end(Outcome how) {
        boolean calledOff = denied || how == Outcome.CANCELLED && state == State.UNSENT;
        state = State.ENDED;
        outcome = calledOff ? Outcome.MOOT : how;
        if (timeout != null) {
            timeout.cancel(false);
        }
        return outcome;
    }

    boolean isUnsent() {
        return state == State.UNSENT;
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
        return isBegun() || state == State.ENDED && !outcome.neverRan;
    }

    /** From when it was written to when its answer began, or to its end if none did. */
    long took(long now) {
        return Math.max(0, (openedAt > 0 ? openedAt : now) - writtenAt);
    }
}
