package loadbalancer.rollout.stage;

import java.util.random.RandomGenerator;

/**
 * Requests the start of this member's change after a random delay, and again with a new id if a
 * majority does not grant it in time. Not thread-safe; times are microseconds of the monotonic
 * clock.
 */
final class StartRequest {
    /** Maximum random delay, which spreads the requests of a stage's members. */
    private static final long MAX_DELAY_MICROS = 5_000_000;

    private static final long TIMEOUT_MICROS = 30_000_000;

    private final RandomGenerator random;
    private long requestId;
    private long dueAtMicros;

    StartRequest(RandomGenerator random) {
        this.random = random;
    }

    /** Makes the request when it is due; returns its id, or 0 if there is no request. */
    long refresh(long nowMicros) {
        if (dueAtMicros == 0 || requestId != 0 && nowMicros - dueAtMicros > TIMEOUT_MICROS) {
            requestId = 0;
            dueAtMicros = nowMicros + random.nextLong(MAX_DELAY_MICROS);
        }
        if (requestId == 0 && nowMicros >= dueAtMicros) {
            requestId = 1 + random.nextLong(Long.MAX_VALUE - 1);
        }
        return requestId;
    }

    /** Withdraws the request, which invalidates earlier grants. */
    void withdraw() {
        requestId = 0;
        dueAtMicros = 0;
    }

    long requestId() {
        return requestId;
    }
}
