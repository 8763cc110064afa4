package loadbalancer.control.publish;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Admits subscribers at a bounded rate. Those beyond it are each given a later slot, so that the
 * retries of a storm are spread over the time that admitting it takes. For the publisher's thread,
 * by the caller's monotonic clock in nanoseconds.
 */
final class AdmissionControl {
    /** The longest wait for a slot; a subscriber that is given this may be deferred again. */
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Jitter of a Retry-After, in slots. */
    private static final int JITTER_SLOTS = 4;

    private static final long AT_CAPACITY_RETRY_MILLIS = 5_000;
    private static final long AHEAD_RETRY_MILLIS = 500;

    private final int maxSubscribers;
    private final RandomGenerator random;
    private final RateLimiter admissions;

    /** Slots given out and not yet past are its debt. */
    private final RateLimiter slots;

    private final long jitterMillis;

    /** Draws jitter from that random source. */
    AdmissionControl(PublisherLimits limits, RandomGenerator random) {
        double perSecond = limits.admissionsPerSecond();
        this.maxSubscribers = limits.maxSubscribers();
        this.random = random;
        this.admissions = new RateLimiter(perSecond, Math.max(1, perSecond));
        this.slots = new RateLimiter(perSecond, 0);
        double jitter = JITTER_SLOTS * TimeUnit.SECONDS.toMillis(1) / perSecond;
        this.jitterMillis =
                1 + (long) Math.min(jitter, TimeUnit.NANOSECONDS.toMillis(MAX_WAIT_NANOS));
    }

    /**
     * Takes one admission, or says when to retry; empty if admitted.
     *
     * @param others subscribers besides this one
     */
    Optional<Admission.Deferred> admit(long nowNanos, int others) {
        if (others >= maxSubscribers) {
            return Optional.of(
                    deferred(
                            "all " + maxSubscribers + " places are taken",
                            AT_CAPACITY_RETRY_MILLIS));
        }
        if (admissions.has(nowNanos, 1)) {
            admissions.spend(1);
            return Optional.empty();
        }
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(takeSlot(nowNanos)) + 1;
        return Optional.of(
                new Admission.Deferred(
                        "more subscribers than are admitted at a time",
                        waitMillis + random.nextLong(jitterMillis)));
    }

    /** Defers a subscriber that is at a later revision than this publisher. */
    Admission.Deferred ahead(String reason) {
        return deferred(reason, AHEAD_RETRY_MILLIS);
    }

    /**
     * Nanoseconds until the next free slot. Jitter only adds to it, so admissions keep up with the
     * retries.
     */
    private long takeSlot(long nowNanos) {
        long wait = Math.max(admissions.nanosUntil(nowNanos, 1), slots.nanosUntil(nowNanos, 1));
        if (wait > MAX_WAIT_NANOS) {
            return MAX_WAIT_NANOS;
        }
        slots.spend(1);
        return wait;
    }

    private Admission.Deferred deferred(String reason, long minMillis) {
        return new Admission.Deferred(reason, minMillis + random.nextLong(minMillis));
    }
}
