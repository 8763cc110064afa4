package loadbalancer.rollout.stage;

import java.util.random.RandomGenerator;

/**
 * This member's request to start its change. It is made after a random delay, and again if a
 * majority does not grant it in time. Not thread-safe; times are microseconds of the monotonic
 * clock.
 */
final class StartRequest {
    /** Spreads the requests of a stage's members. */
    private static final long MAX_DELAY_MICROS = 5_000_000;

    private static final long TIMEOUT_MICROS = 30_000_000;

    private final RandomGenerator random;
    private long requestId;
    private long dueAtMicros;

    StartRequest(RandomGenerator random) {
        this.random = random;
    }

    /** Makes the request when it is due; returns its id, 0 as long as there is none. */
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

    /** What was granted before no longer holds. */
    void withdraw() {
        requestId = 0;
        dueAtMicros = 0;
    }

    long requestId() {
        return requestId;
    }
}
