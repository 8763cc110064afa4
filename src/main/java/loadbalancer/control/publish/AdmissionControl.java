package loadbalancer.control.publish;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Admits subscribers at a bounded rate. Each subscriber beyond the rate is assigned a later slot,
 * so the retries of a reconnection storm are spread over the time that it takes to admit them all.
 * Confined to the publisher's thread; times are the caller's monotonic clock in nanoseconds.
 */
final class AdmissionControl {
    /** The maximum wait for a slot; a subscriber that waits this long may be deferred again. */
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** The maximum jitter added to a retry delay, in slots. */
    private static final int JITTER_SLOTS = 4;

    private static final long AT_CAPACITY_RETRY_MILLIS = 5_000;
    private static final long AHEAD_RETRY_MILLIS = 500;

    private final int maxSubscribers;
    private final RandomGenerator random;
    private final RateLimiter admissions;

    /** Slots that are assigned but not yet due are the negative balance of this limiter. */
    private final RateLimiter slots;

    private final long jitterMillis;

    /** Creates an admission control that draws jitter from {@code random}. */
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
     * Admits a subscriber or defers it.
     *
     * @param others the number of other subscribers that are connected
     * @return empty if the subscriber is admitted
     */
    Optional<Admission.Deferred> admit(long nowNanos, int others) {
        if (others >= maxSubscribers) {
            return Optional.of(
                    deferred(
                            "all " + maxSubscribers + " places are taken",
                            AT_CAPACITY_RETRY_MILLIS));
        }
        if (admissions.hasTokens(nowNanos, 1)) {
            admissions.spend(1);
            return Optional.empty();
        }
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(reserveSlot(nowNanos)) + 1;
        return Optional.of(
                new Admission.Deferred(
                        "more subscribers than are admitted at a time",
                        waitMillis + random.nextLong(jitterMillis)));
    }

    /** Defers a subscriber that is at a later revision than this publisher. */
    Admission.Deferred deferAhead(String reason) {
        return deferred(reason, AHEAD_RETRY_MILLIS);
    }

    /**
     * Reserves the next free slot and returns the nanoseconds until it. Jitter is only added to
     * this wait, never subtracted, so no retry arrives before its admission is available.
     */
    private long reserveSlot(long nowNanos) {
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
